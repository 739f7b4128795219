"""Provide the built-in overload profiles."""

from collections.abc import Callable

from ..ids import ProfileId
from ..registry import Registry
from .plan import Profile

# Factories of the built-in profiles, by profile name.
built_in_profiles: Registry[Callable[[], Profile]] = Registry("profile")


def built_in(name: str) -> Profile:
    """Return the built-in profile of a name.

    Raises:
        UnknownEntryError: No built-in profile has the name.
    """
    return built_in_profiles.get(name)()


@built_in_profiles.register("lookup")
def make_lookup() -> Profile:
    """Return the profile of small idempotent look-ups, whose late answers have little value."""
    return Profile(ProfileId("lookup"), hedging=True, deadline_ms=1_000.0)


@built_in_profiles.register("exactly-once")
def make_exactly_once() -> Profile:
    """Return the profile of orders and bookings, which wait longer but must not run twice."""
    return Profile(
        ProfileId("exactly-once"),
        queue_target_ms=50.0,
        queue_limit=200,
        retry_ratio=0.05,
        deadline_ms=5_000.0,
    )


@built_in_profiles.register("download")
def make_download() -> Profile:
    """Return the profile of large answers, whose latency is a poor measure of load."""
    return Profile(
        ProfileId("download"),
        queue_target_ms=100.0,
        queue_limit=50,
        limiter="aimd",
        retry_allowance=1,
        deadline_ms=120_000.0,
        slow_start_ms=10_000.0,
        probe_interval_ms=5_000.0,
    )


@built_in_profiles.register("scarce")
def make_scarce() -> Profile:
    """Return the profile of targets with few slots, where a wasted execution is costly."""
    return Profile(
        ProfileId("scarce"),
        queue_target_ms=30.0,
        queue_limit=40,
        limiter="static",
        retry_allowance=1,
        retry_ratio=0.05,
        deadline_ms=3_000.0,
    )
