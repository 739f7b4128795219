"""Report the state of a sidecar: the gauges of its metrics, and its dump."""

from typing import TYPE_CHECKING, Any

from ...metrics_text import format_prometheus
from ...state.revisions import era_of, format_revision, number_of

if TYPE_CHECKING:
    from .sidecar import Sidecar


def write_metrics(sidecar: "Sidecar") -> bytes:
    """Return the metrics of a sidecar, with gauges of its present state."""
    now_ms = sidecar.clock.now_ms()
    sidecar.metrics.gauge("target.running", sidecar.target.running)
    sidecar.metrics.gauge("target.queued", len(sidecar.target.queue))
    sidecar.metrics.gauge("target.connections", sidecar.pool.open_connections)
    sidecar.metrics.gauge("target.connections_opened", sidecar.pool.dialled)
    sidecar.metrics.gauge("target.level", sidecar.target.control.level)
    # -1 while the target names no limit, as a limit may be 0.
    stated_limit_per_s = sidecar.target.stated_limit.per_s
    sidecar.metrics.gauge(
        "target.stated_limit_per_s", -1 if stated_limit_per_s is None else stated_limit_per_s
    )
    sidecar.metrics.gauge("target.cold", int(sidecar.target.health.warm_up.is_cold(now_ms)))
    sidecar.metrics.gauge("target.rate_limit_per_s", sidecar.target.rate_limit.rate_per_s(now_ms))
    sidecar.metrics.gauge("target.throughput_per_s", sidecar.target.capacity.throughput_per_s)
    sidecar.metrics.gauge("target.work_percent", sidecar.target.capacity.pace.percent(now_ms))
    sidecar.metrics.gauge("target.invalid_load_figures", sidecar.target.capacity.invalid_figures)
    transfers = sidecar.balancer.transfers.values()
    sidecar.metrics.gauge("zones.sent_elsewhere", sum(found.sent for found in transfers))
    sidecar.metrics.gauge("zones.saved_ms", sum(found.saved_ms for found in transfers))
    sidecar.metrics.gauge("entry.running", sidecar.entry.running)
    sidecar.memory_report.write_metrics()
    blocked = sidecar.crash_reports.suspects.blocked_count(now_ms)
    sidecar.metrics.gauge("crashes.blocked_requests", blocked)
    plan = sidecar.follower.plan
    sidecar.metrics.gauge("plan.version", plan.version if plan else 0)
    sidecar.metrics.gauge("plan.unreadable_values", len(plan.problems) if plan else 0)
    sidecar.metrics.gauge("zones.evacuated", len(sidecar.directory.evacuated_zones))
    sidecar.metrics.gauge("store.era", era_of(sidecar.follower.revision))
    sidecar.metrics.gauge("store.revision", number_of(sidecar.follower.revision))
    sidecar.metrics.gauge("peers.links", len(sidecar.peers.links()))
    return format_prometheus(sidecar.metrics).encode()


def describe_state(sidecar: "Sidecar") -> dict[str, Any]:
    """Return the state of a sidecar for the dump."""
    plan = sidecar.follower.plan
    now_ms = sidecar.clock.now_ms()
    return {
        "host": sidecar.settings.host,
        "service": sidecar.settings.service_id,
        "leaving": sidecar.leaving,
        "draining": sidecar.draining,
        "plan": None if plan is None else plan.version,
        "plan_problems": [] if plan is None else [each.field for each in plan.problems],
        "revision": format_revision(sidecar.follower.revision),
        "evacuated_zones": sorted(sidecar.directory.evacuated_zones),
        "upstreams": [
            {
                "upstream": entry.upstream_id,
                "service": entry.service_id,
                "host": entry.host,
                "state": entry.state.value,
                "reachable": sidecar.peers.reachable(entry.host),
                "wait_ms": sidecar.balancer.wait_ms(entry, now_ms),
            }
            for _, entry in sorted(sidecar.directory.entries.items())
        ],
        "target": {
            "running": sidecar.target.running,
            "queued": len(sidecar.target.queue),
            "limit": sidecar.target.limit(),
            "service_ms": sidecar.target.capacity.service_ms,
            "level": sidecar.target.control.level,
            "stated_limit_per_s": sidecar.target.stated_limit.per_s,
            "rate_limit_per_s": sidecar.target.rate_limit.rate_per_s(now_ms),
            **sidecar.target.health.describe(now_ms),
            "throughput_per_s": sidecar.target.capacity.throughput_per_s,
            "work_percent": sidecar.target.capacity.pace.percent(now_ms),
        },
        "promised_return_ms": sidecar.entry.return_times.waiting(now_ms),
        "retry_budgets": sidecar.retry_budget.describe(now_ms),
        "path_ms": sidecar.balancer.paths.describe(now_ms),
        "memory": sidecar.memory_report.describe(),
        "elsewhere": {
            service_id: found.describe(now_ms)
            for service_id, found in sorted(sidecar.balancer.transfers.items())
        },
        "blocked_requests": sidecar.crash_reports.suspects.blocked_count(now_ms),
        "counting": sidecar.rate_sharing.counter_host,
        "feed": {"sources": list(sidecar.feeds.plan.sources), "watching": sidecar.feeds.watching},
    }
