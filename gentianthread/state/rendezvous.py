"""Rank candidates by highest random weight (rendezvous) hashing.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998. All processes with
the same candidates rank them alike, and removing a candidate reassigns only its own keys.
"""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T", bound=str)


def rank(key: str, candidates: Iterable[T]) -> list[T]:
    """Return the candidates, best first.

    Args:
        key: Key to assign.
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
