"""Choose one of several upstreams that can accept a request."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random

import attrs

from ..ids import UpstreamId
from ..registry import Registry

choosers: Registry[type["Chooser"]] = Registry("chooser")


@attrs.frozen
class Candidate:
    """Describe an upstream to a chooser.

    Attributes:
        upstream_id: The upstream.
        score: Expected cost of one more attempt; smaller is better.
        weight: Fraction of its usual work that it should get, above 0 to 1.
    """

    upstream_id: UpstreamId
    score: float
    weight: float


class Chooser(ABC):
    """Choose one candidate."""

    def __init__(self, random: Random):
        """Create a chooser.

        Args:
            random: Source of random choices.
        """
        self.random = random

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates, of which there is at least one."""


def _draw_by_weight(random: Random, candidates: Sequence[Candidate]) -> Candidate:
    if all(candidate.weight >= 1.0 for candidate in candidates):
        return candidates[int(random.random() * len(candidates))]
    return random.choices(candidates, [candidate.weight for candidate in candidates])[0]


@choosers.register("two-choices")
class TwoChoices(Chooser):
    """Draw two candidates by weight and choose the one with the smaller score.

    Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001. Comparing two
    instead of all candidates keeps callers with the same stale data from choosing the same
    upstream.
    """

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the better of two random candidates."""
        first = _draw_by_weight(self.random, candidates)
        if len(candidates) == 1:
            return first
        others = [candidate for candidate in candidates if candidate is not first]
        second = _draw_by_weight(self.random, others)
        # Otherwise the second draw would choose a recovering upstream more often than by its
        # weight, because it is idle and so has the smallest score.
        if self.random.random() * max(first.weight, second.weight) >= second.weight:
            return first
        return min(first, second, key=lambda candidate: candidate.score)


@choosers.register("round-robin")
class RoundRobin(Chooser):
    """Choose the candidates in turn."""

    def __init__(self, random: Random):
        super().__init__(random)
        self._position = 0

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the next candidate."""
        self._position += 1
        return candidates[self._position % len(candidates)]


@choosers.register("random")
class RandomChoice(Chooser):
    """Choose a random candidate by weight."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a random candidate."""
        return _draw_by_weight(self.random, candidates)
