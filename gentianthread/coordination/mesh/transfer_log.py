"""Log when requests start or stop to leave the availability zone."""

from ...events import LOAD_TRANSFER_CHANGED
from ...ids import ServiceId
from ...logs import log
from ...state.zone_transfer import ZoneTransfer


def log_transfer(service_id: ServiceId, transfer: ZoneTransfer) -> None:
    """Log the state of a transfer after it started or stopped.

    Args:
        service_id: The service.
        transfer: Its transfer.
    """
    outlook = transfer.outlook
    log(
        LOAD_TRANSFER_CHANGED,
        service_id=service_id,
        state="started" if transfer.active else "stopped",
        own_wait_ms=transfer.own_wait_ms,
        wait_ms=0.0 if outlook is None else outlook.wait_ms,
        path_ms=0.0 if outlook is None else outlook.path_ms,
        sent=transfer.sent,
        saved_ms=transfer.saved_ms,
    )
