"""Build work items for tests and benchmarks."""

from itertools import count

from gentianthread.ids import OrganisationId, Priority, RequestId, ServiceId
from gentianthread.state.work import WorkItem

_root_numbers = count()


def work_item(
    root: str | None = None,
    organisation: str = "alpha",
    priority: Priority = Priority.NORMAL,
    depth: int = 0,
    deadline_at_ms: float = 1e9,
    service: str = "catalogue",
    idempotent: bool = True,
) -> WorkItem:
    """Return a work item, with a root request of its own unless `root` is given."""
    return WorkItem(
        root_request_id=RequestId(root or f"root-{next(_root_numbers)}"),
        service_id=ServiceId(service),
        organisation_id=OrganisationId(organisation),
        priority=priority,
        depth=depth,
        deadline_at_ms=deadline_at_ms,
        idempotent=idempotent,
    )
