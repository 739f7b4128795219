"""Print the verdict on one run."""

from collections import Counter

from .deployments import GREEDY
from .invariants import Evidence, checks
from .records import Result

SHOWN_VIOLATIONS = 5

ORDER = tuple(f"P{number}" for number in range(1, 13))


def judge(evidence: Evidence) -> tuple[list[str], int, list[str]]:
    """Check all invariants.

    Returns:
        Lines of the report, the number of violations and the invariants that nothing exercised.
    """
    name = evidence.deployment.name
    lines = [f"{name:10} {'checked':>8} {'violations':>10}  worst"]
    values, unexercised, total = [], [], 0
    for invariant in ORDER:
        finding = checks.get(invariant)(evidence)
        count = len(finding.violations)
        total += count
        if not finding.checked and not count:
            unexercised.append(invariant)
        shown = finding.worst if finding.checked else "not exercised"
        lines.append(f"{invariant:10} {finding.checked:8} {count:10}  {shown}")
        lines += [f"    {text}" for text in finding.violations[:SHOWN_VIOLATIONS]]
        values.append(f"{name}.{invariant}.checked={finding.checked}")
        values.append(f"{name}.{invariant}.violations={count}")
    return [*lines, *values, *_totals(evidence)], total, unexercised


def _hung_unpaused(evidence: Evidence) -> int:
    """Count attempts without an end whose entry node was not paused meanwhile."""
    hung = [one for one in evidence.log.attempts if one.result is Result.HUNG]
    return sum(
        not any(
            one.entry in fault.scope
            for fault in evidence.faults(("pause",), one.sent_s, one.ended_s)
        )
        for one in hung
    )


def _totals(evidence: Evidence) -> list[str]:
    log, name = evidence.log, evidence.deployment.name
    results = Counter(one.result.value.replace(" ", "_") for one in log.attempts)
    reasons = Counter(one.reason for one in log.attempts if one.reason)
    lines = [f"{name}.attempts={len(log.attempts)}", f"{name}.arrivals={len(log.arrivals)}"]
    lines += [f"{name}.result.{result}={number}" for result, number in sorted(results.items())]
    lines += [f"{name}.reason.{reason}={number}" for reason, number in sorted(reasons.items())]
    inside = [one for one in log.attempts if one.valid and one.key_id]
    inside = [one for one in inside if one.organisation != GREEDY]
    wrongful = sum(one.reason == "rate_exceeded" for one in inside)
    lines.append(f"{name}.wrongful_refusals={wrongful}")
    lines.append(f"{name}.wrongful_share={wrongful / max(1, len(inside)):.4f}")
    lines.append(f"{name}.hung_unpaused={_hung_unpaused(evidence)}")
    lines.append(f"{name}.harness_lag_ms={log.lag_s * 1000:.0f}")
    return lines
