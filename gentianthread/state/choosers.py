"""Choose one of several upstreams that can take a request."""

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
        score: Expected cost of one more attempt; the smaller is better.
        weight: Part of its usual work that it should get, above 0 to 1.
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
        """Return one of at least one candidates."""


def _draw(random: Random, candidates: Sequence[Candidate]) -> Candidate:
    if all(candidate.weight >= 1.0 for candidate in candidates):
        return candidates[int(random.random() * len(candidates))]
    return random.choices(candidates, [candidate.weight for candidate in candidates])[0]


@choosers.register("two-choices")
class TwoChoices(Chooser):
    """Draw two candidates by weight and take the one with the smaller score.

    Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001. Comparing two
    instead of all keeps callers with the same stale view from choosing the same upstream.
    """

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the better of two random candidates."""
        first = _draw(self.random, candidates)
        if len(candidates) == 1:
            return first
        rest = [candidate for candidate in candidates if candidate is not first]
        second = _draw(self.random, rest)
        # The second draw would otherwise bring a recovering upstream back more often than its
        # weight says, because it is the idlest of all.
        if self.random.random() * max(first.weight, second.weight) >= second.weight:
            return first
        return min(first, second, key=lambda candidate: candidate.score)


@choosers.register("round-robin")
class RoundRobin(Chooser):
    """Take the candidates in turn."""

    def __init__(self, random: Random):
        super().__init__(random)
        self._turn = 0

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the next candidate."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@choosers.register("random")
class RandomChoice(Chooser):
    """Take any candidate by weight."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a random candidate."""
        return _draw(self.random, candidates)
