"""Store what a node knows about upstreams."""

import attrs

from ..ids import UpstreamId


@attrs.frozen
class LoadReport:
    """Report the load of one target, as measured by its node.

    Attributes:
        running: Requests that run on the target.
        queued: Requests that wait at the node.
        limit: Requests that may run at once.
        service_ms: Smoothed time that a request takes on the target.
        level: Overload level below which root requests are refused at their entry; the highest of
            this target and of the services that it calls.
        rate_per_s: Requests per second to which the target limits all nodes together; 0 if it does
            not.
        allowance: Requests that may be sent at once within `rate_per_s`; negative while more wait.
        leaving_id: The upstream that runs as the target, if it said that it leaves.
        leaving_start_ms: Its start, as in its entry.
        throughput_per_s: Requests per second that the target completes when busy; 0 if unknown.
        work_percent: Time that work takes on the target at present in percent of `service_ms`, as
            checked by its node; 0 if the target does not state its pace.
    """

    running: int
    queued: int
    limit: int
    service_ms: float
    level: float
    rate_per_s: float = 0.0
    allowance: float = 0.0
    leaving_id: UpstreamId | None = None
    leaving_start_ms: int = 0
    throughput_per_s: float = 0.0
    work_percent: float = 0.0
    makes_calls: bool | None = None


@attrs.define(eq=False)
class UpstreamView:
    """Store what a node knows about one upstream.

    Attributes:
        outstanding: Requests of this node that are under way there.
        report: Its last load report, or None.
        reported_at_ms: When the last load report arrived.
        sent_since_report: Requests sent since the last load report.
        consecutive_failures: Failures to get any answer since the last answer.
        avoid_until_ms: Until when other upstreams are preferred.
        failure_fraction: Smoothed fraction of requests that failed, as of the last outcome.
        outcome_at_ms: When the last outcome was recorded.
        recent_sent: Requests sent, where older ones count for less, as of `recent_sent_ms`.
        recent_sent_ms: When the last request was sent.
        rejected_fraction: Smoothed fraction of requests that the target rejected as not run, as of
            `rejection_at_ms`.
        rejection_at_ms: When a rejection, or an answer after one, was last recorded.
    """

    outstanding: int = 0
    report: LoadReport | None = None
    reported_at_ms: float = float("-inf")
    sent_since_report: int = 0
    consecutive_failures: int = 0
    avoid_until_ms: float = float("-inf")
    failure_fraction: float = 0.0
    outcome_at_ms: float = 0.0
    recent_sent: float = 0.0
    recent_sent_ms: float = 0.0
    rejected_fraction: float = 0.0
    rejection_at_ms: float = 0.0
