"""Rank requests for load shedding, and store the shed levels that answers report.

The rank of a request is its priority class plus a fraction that is derived from its depth and a
hash of the root request id. Every hop computes the same hash, so a request that one hop admits is
not shed by the next one at the same threshold, and an entry node can shed the same requests that a
deeper node would shed.
"""

from collections.abc import Hashable, Iterable

import attrs
import xxhash

from ..ids import OrganisationId, RequestId
from .work import ShedLevel, WorkItem

# Rank steps per priority class. More than the depth limit of 18, so that each depth has its own.
DEPTH_STEPS = 32

# A level is applied in full until HOLD_MS after it was measured. Over the next FADE_MS a growing
# fraction of the requests is admitted, and their answers report fresh levels. After that the level
# is ignored, so that a stale level can't refuse requests for longer.
HOLD_MS = 1_000.0
FADE_MS = 1_000.0
# Levels of a pool are combined if they are at most this much older than the newest one.
FRESH_MS = 200.0


def hash_fraction(root_request_id: RequestId) -> float:
    """Return the hash of a root request id, from 0 to below 1, which orders a rank step."""
    return (xxhash.xxh64_intdigest(root_request_id.encode()) >> 11) / (1 << 53)


def rank_step(item: WorkItem) -> int:
    """Return the rank without the hash, as a number of steps of one depth."""
    return item.priority * DEPTH_STEPS + min(item.depth, DEPTH_STEPS - 1)


def rank(item: WorkItem) -> float:
    """Return the rank of a request; smaller ranks are shed first."""
    return (rank_step(item) + hash_fraction(item.root_request_id)) / DEPTH_STEPS


def threshold_for(level: ShedLevel, organisation_id: OrganisationId) -> float:
    """Return the threshold that a level sets for one organisation."""
    for name, threshold in level.by_organisation:
        if name == organisation_id:
            return threshold
    return level.threshold


def route_key(item: WorkItem) -> Hashable:
    """Return the key by which levels and chain times are stored: service, route and depth.

    Routes of one service lead to different inner calls, and a threshold applies to the ranks of one
    depth only.
    """
    return item.service_id, item.route_id, item.depth


def entry_threshold(item: WorkItem) -> float:
    """Return the threshold that the entry node applied, in ranks of the item's depth, or 0."""
    if item.passed_threshold <= 0:
        return 0.0
    return item.passed_threshold + item.depth / DEPTH_STEPS


def sheds(level: ShedLevel, item: WorkItem, draw: float) -> bool:
    """Return whether a level sheds an item.

    Args:
        level: The level with its present age.
        item: The work.
        draw: A random number from 0 to below 1, since old levels shed only a fraction of the work.
    """
    if rank(item) >= threshold_for(level, item.organisation_id):
        return False
    return draw >= (level.age_ms - HOLD_MS) / FADE_MS


def level_for_caller(level: ShedLevel) -> ShedLevel:
    """Return a level in the ranks of the calling hop, whose depth is one less."""
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
        inner: Levels reported by the answers to the inner calls, in the ranks of their depth.
    """
    active = [level_for_caller(level) for level in inner if _sheds_any_work(level)]
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
    """Return the level of a pool of upstreams: the median, weighted by their limits.

    The mean of thresholds in two priority classes would lie between the classes, and so shed all of
    one class and none of the other. The minimum would send all work that the other upstreams shed
    to a single upstream. Levels much older than the newest one are ignored, since they don't
    reflect later changes.

    Args:
        levels: Levels of the upstreams; at least one.
    """
    lowest_age_ms = min(level.age_ms for level in levels)
    fresh = [level for level in levels if level.age_ms <= lowest_age_ms + FRESH_MS]
    names = sorted({name for level in fresh for name, _ in level.by_organisation})
    weights = [max(1, level.limit) for level in fresh]
    medians = [
        (name, _weighted_median([threshold_for(level, name) for level in fresh], weights))
        for name in names
    ]
    return ShedLevel(
        threshold=_weighted_median([level.threshold for level in fresh], weights),
        queue_delay_ms=sum(level.queue_delay_ms for level in fresh) / len(fresh),
        running=sum(level.running for level in fresh),
        limit=sum(level.limit for level in fresh),
        by_organisation=tuple((name, median) for name, median in medians if median > 0),
        age_ms=sum(level.age_ms for level in fresh) / len(fresh),
    )


def _weighted_median(values: list[float], weights: list[int]) -> float:
    """Return the weighted median, averaging two middle values if they share a rank step."""
    ordered = sorted(zip(values, weights, strict=True))
    half_weight = sum(weights) / 2
    cumulative_weight = 0.0
    for index, (value, weight) in enumerate(ordered):
        cumulative_weight += weight
        if cumulative_weight > half_weight or index == len(ordered) - 1:
            return value
        if cumulative_weight == half_weight:
            next_value = ordered[index + 1][0]
            same_step = int(value * DEPTH_STEPS) == int(next_value * DEPTH_STEPS)
            return (value + next_value) / 2 if same_step else value
    return 0.0


def _sheds_any_work(level: ShedLevel) -> bool:
    return level.threshold > 0 or bool(level.by_organisation)


@attrs.define
class _RecordedLevel:
    level: ShedLevel
    measured_at_ms: float


class ShedLevels:
    """Store the newest level of each key until it expires."""

    # Bounds the memory when routes and upstreams are added and removed over time.
    MAX_KEYS = 4_096

    def __init__(self) -> None:
        self._levels: dict[Hashable, _RecordedLevel] = {}

    def record(self, key: Hashable, level: ShedLevel, now_ms: float) -> None:
        """Store a level unless a newer one is stored.

        Args:
            key: Identifies what the level applies to.
            level: The reported level.
            now_ms: Present time in ms.
        """
        measured_at_ms = now_ms - max(0.0, level.age_ms)
        previous = self._levels.get(key)
        if previous is not None and previous.measured_at_ms > measured_at_ms:
            return
        if previous is None and len(self._levels) >= self.MAX_KEYS:
            oldest = min(self._levels, key=lambda name: self._levels[name].measured_at_ms)
            del self._levels[oldest]
        self._levels[key] = _RecordedLevel(level, measured_at_ms)

    def refuses(self, key: Hashable, item: WorkItem, now_ms: float) -> bool | None:
        """Return whether the stored level refuses an item, or None if none is stored."""
        entry = self._levels.get(key)
        if entry is None or now_ms - entry.measured_at_ms >= HOLD_MS + FADE_MS:
            return None
        return rank(item) < threshold_for(entry.level, item.organisation_id)

    def level(self, key: Hashable, now_ms: float) -> ShedLevel | None:
        """Return the stored level with its present age, or None if there is none or it expired."""
        entry = self._levels.get(key)
        if entry is None:
            return None
        age_ms = now_ms - entry.measured_at_ms
        if age_ms >= HOLD_MS + FADE_MS:
            del self._levels[key]
            return None
        level = entry.level
        # Called for every answer; `attrs.evolve` would take more than twice as long.
        return ShedLevel(
            level.threshold,
            level.queue_delay_ms,
            level.running,
            level.limit,
            level.by_organisation,
            age_ms,
        )
