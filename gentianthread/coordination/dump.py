"""Report the state of a node to operators, without any key or secret."""

import json
from typing import TYPE_CHECKING, Any

from ..metrics import MemoryMetrics
from ..transport.http_server import Exchange

if TYPE_CHECKING:
    from .node import Node

DUMP_PATH = "/dump"
METRICS_PATH = "/metrics"


def describe_node(node: "Node") -> dict[str, Any]:
    """Return the state dump of a node as values that JSON can represent."""
    plan = node.plan()
    level = node.admission.level()
    return {
        "node": {
            "upstream": node.local.upstream_id,
            "availability_zone": node.local.availability_zone,
            "start_number": node.local.start_number,
            "leaving": node.gateway.leaving,
            "target_refuses": (
                None if node.executor.leaving is None else node.executor.leaving.value
            ),
        },
        "plan": (
            None
            if plan is None
            else {
                "version": plan.version,
                "services": len(plan.services),
                "upstreams": len(plan.upstreams),
                "organisations": sorted(plan.organisations),
                "key_ids": sorted(plan.keys),
            }
        ),
        "requests": {
            "running": node.gateway.running,
            "on_target": node.executor.running,
            "contexts": len(node.contexts),
            "served": node.gateway.served,
        },
        "load": {
            "running": level.running,
            "limit": level.limit,
            "queue_delay_ms": level.queue_delay_ms,
            "threshold": level.threshold,
        },
        "idempotency": {
            "records": len(node.idempotency.executions),
            "kept_bytes": node.idempotency.executions.kept_bytes,
        },
        "retry_budgets": node.retries.balances(),
        "peers": sorted(node.peers.connected()),
        "members": [
            {"upstream": member.identity.upstream_id, "state": member.state.value}
            for member in ([] if node.members is None else node.members.all())
        ],
        "counters": describe_metrics(node),
        **{name: describe() for name, describe in node.dump_sections.items()},
    }


def describe_metrics(node: "Node") -> dict[str, float]:
    """Return all counters and gauges by name; empty if they are sent to StatsD instead."""
    metrics = node.metrics
    if not isinstance(metrics, MemoryMetrics):
        return {}
    return dict(sorted({**metrics.counters, **metrics.gauges}.items()))


async def answer_operator(node: "Node", exchange: Exchange) -> None:
    """Answer a request on the operator listener with a page, or with a list of the pages."""
    pages = {DUMP_PATH: describe_node, METRICS_PATH: describe_metrics}
    describe_page = pages.get(exchange.target.partition("?")[0])
    status = 200 if describe_page is not None and exchange.method == "GET" else 404
    content = describe_page(node) if status == 200 else {"pages": sorted(pages)}
    body = json.dumps(content, indent=2).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    await exchange.send_head(status, headers, has_body=exchange.method != "HEAD")
    if exchange.method != "HEAD":
        await exchange.send(body)
    await exchange.finish()
