"""Rank candidates by highest random weight (rendezvous) hashing.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998: every process that
knows the same candidates ranks them alike, and a lost candidate moves only its own keys.
"""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T", bound=str)


def rank(key: str, candidates: Iterable[T]) -> list[T]:
    """Return the candidates, best first.

    Args:
        key: What is placed.
        candidates: Ids of the candidates.
    """
    return sorted(candidates, key=lambda candidate: (-_weight(key, candidate), candidate))


def choose(key: str, candidates: Iterable[T]) -> T | None:
    """Return the best candidate, or None if there is none."""
    return min(
        candidates, key=lambda candidate: (-_weight(key, candidate), candidate), default=None
    )


def _weight(key: str, candidate: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{candidate}".encode())
