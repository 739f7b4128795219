"""Rank work alike on every hop, and remember the thresholds that answers report.

The rank of a request is its priority class plus a fraction made of its depth and of a hash of the
root request id. Every hop computes the same hash, so a request that one hop admits is not shed by
the next one at the same threshold, and an entry node can shed what a deeper node would.
"""

from collections.abc import Hashable, Iterable

import attrs
import xxhash

from ..ids import OrganisationId, RequestId
from .work import ShedLevel, WorkItem

# More than the depth limit of 18, so that each depth has its own part of a priority class.
DEPTH_STEPS = 32

# A level is applied in full until HOLD_MS after it was measured. It then fades: a growing part of
# the work passes, and each answer brings a fresh level. After HOLD_MS + FADE_MS it counts as
# unknown, so no stale level refuses for longer.
HOLD_MS = 1_000.0
FADE_MS = 1_000.0
# Levels of a pool within this time of the youngest one are taken together.
FRESH_MS = 200.0


def position(root_request_id: RequestId) -> float:
    """Return the place of a root request inside its rank step, from 0 to below 1."""
    return (xxhash.xxh64_intdigest(root_request_id.encode()) >> 11) / (1 << 53)


def bucket(item: WorkItem) -> int:
    """Return the rank without the hash, in steps of one depth."""
    return item.priority * DEPTH_STEPS + min(item.depth, DEPTH_STEPS - 1)


def rank(item: WorkItem) -> float:
    """Return the rank of a request; the larger rank is shed later."""
    return (bucket(item) + position(item.root_request_id)) / DEPTH_STEPS


def threshold_for(level: ShedLevel, organisation_id: OrganisationId) -> float:
    """Return the threshold that a level sets for one organisation."""
    for name, threshold in level.by_organisation:
        if name == organisation_id:
            return threshold
    return level.threshold


def route_key(item: WorkItem) -> Hashable:
    """Return the key by which levels and chain times are kept: service, route and depth.

    Calls on one route have other calls behind them than those on another, and levels are in the
    ranks of one depth.
    """
    return item.service_id, item.route_id, item.depth


def passed_at(item: WorkItem) -> float:
    """Return the threshold that the root request passed, in ranks of the item's depth, or 0."""
    if item.passed_threshold <= 0:
        return 0.0
    return item.passed_threshold + item.depth / DEPTH_STEPS


def sheds(level: ShedLevel, item: WorkItem, draw: float) -> bool:
    """Return whether a level sheds an item.

    Args:
        level: The level with its present age.
        item: The work.
        draw: A random number from 0 to below 1; old levels shed only a part.
    """
    if rank(item) >= threshold_for(level, item.organisation_id):
        return False
    return draw >= (level.age_ms - HOLD_MS) / FADE_MS


def raise_to_caller(level: ShedLevel) -> ShedLevel:
    """Return a level in the ranks of the hop above, whose work has one depth less."""
    step = 1 / DEPTH_STEPS
    return attrs.evolve(
        level,
        threshold=max(0.0, level.threshold - step),
        by_organisation=tuple(
            (name, max(0.0, threshold - step)) for name, threshold in level.by_organisation
        ),
    )


def combine(own: ShedLevel, inner: Iterable[ShedLevel]) -> ShedLevel:
    """Return the level that a node reports for a request with inner calls.

    Args:
        own: Level of the node's own target.
        inner: Levels that the inner calls met, in the ranks of their own depth.
    """
    active = [raise_to_caller(level) for level in inner if _sheds_anything(level)]
    if not active:
        return own
    levels = [own, *active]
    names = sorted({name for level in levels for name, _ in level.by_organisation})
    return attrs.evolve(
        own,
        threshold=max(level.threshold for level in levels),
        by_organisation=tuple(
            (name, max(threshold_for(level, name) for level in levels)) for name in names
        ),
        age_ms=max(level.age_ms for level in levels),
    )


def level_of_pool(levels: list[ShedLevel]) -> ShedLevel:
    """Return the level of a pool of upstreams: the median, each counted by its limit.

    The mean of thresholds in two priority classes would lie between the classes and mean nothing.
    The smallest one would send all work between it and the others to a single upstream. Levels
    much older than the youngest one do not count: they say nothing about a change since then.

    Args:
        levels: Levels of the upstreams; at least one.
    """
    youngest_ms = min(level.age_ms for level in levels)
    used = [level for level in levels if level.age_ms <= youngest_ms + FRESH_MS]
    names = sorted({name for level in used for name, _ in level.by_organisation})
    weights = [max(1, level.limit) for level in used]
    medians = [
        (name, _median([threshold_for(level, name) for level in used], weights)) for name in names
    ]
    return ShedLevel(
        threshold=_median([level.threshold for level in used], weights),
        queue_delay_ms=sum(level.queue_delay_ms for level in used) / len(used),
        running=sum(level.running for level in used),
        limit=sum(level.limit for level in used),
        by_organisation=tuple((name, median) for name, median in medians if median > 0),
        age_ms=sum(level.age_ms for level in used) / len(used),
    )


def _median(values: list[float], weights: list[int]) -> float:
    """Return the weighted median; the mean of both middle values inside one rank step."""
    ordered = sorted(zip(values, weights, strict=True))
    half = sum(weights) / 2
    passed = 0.0
    for index, (value, weight) in enumerate(ordered):
        passed += weight
        if passed > half or index == len(ordered) - 1:
            return value
        if passed == half:
            above = ordered[index + 1][0]
            same_step = int(value * DEPTH_STEPS) == int(above * DEPTH_STEPS)
            return (value + above) / 2 if same_step else value
    return 0.0


def _sheds_anything(level: ShedLevel) -> bool:
    return level.threshold > 0 or bool(level.by_organisation)


@attrs.define
class _Remembered:
    level: ShedLevel
    measured_at_ms: float


class ShedLevels:
    """Remember the newest level by key for a bounded time."""

    # Bounds memory when routes and upstreams come and go.
    KEY_LIMIT = 4_096

    def __init__(self) -> None:
        self._levels: dict[Hashable, _Remembered] = {}

    def record(self, key: Hashable, level: ShedLevel, now_ms: float) -> None:
        """Remember a level unless a newer one is known.

        Args:
            key: What the level belongs to.
            level: The reported level.
            now_ms: Present time in ms.
        """
        measured_at_ms = now_ms - max(0.0, level.age_ms)
        known = self._levels.get(key)
        if known is not None and known.measured_at_ms > measured_at_ms:
            return
        if known is None and len(self._levels) >= self.KEY_LIMIT:
            oldest = min(self._levels, key=lambda name: self._levels[name].measured_at_ms)
            del self._levels[oldest]
        self._levels[key] = _Remembered(level, measured_at_ms)

    def refuses(self, key: Hashable, item: WorkItem, now_ms: float) -> bool | None:
        """Return whether the remembered level refuses an item, or None where none is known."""
        found = self._levels.get(key)
        if found is None or now_ms - found.measured_at_ms >= HOLD_MS + FADE_MS:
            return None
        return rank(item) < threshold_for(found.level, item.organisation_id)

    def level(self, key: Hashable, now_ms: float) -> ShedLevel | None:
        """Return the remembered level with its present age, or None where none is young enough."""
        found = self._levels.get(key)
        if found is None:
            return None
        age_ms = now_ms - found.measured_at_ms
        if age_ms >= HOLD_MS + FADE_MS:
            del self._levels[key]
            return None
        level = found.level
        # Called for every answer; `attrs.evolve` takes over twice as long.
        return ShedLevel(
            level.threshold,
            level.queue_delay_ms,
            level.running,
            level.limit,
            level.by_organisation,
            age_ms,
        )
