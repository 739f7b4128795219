"""Order the revisions of a store that may be restored from an older copy.

A restored store gives revisions out again. It counts its restores; this count, the era, and the
store's revision together order all of its states. They are combined into one number, which is what
the other modules and the messages between nodes call a revision.
"""

_REVISIONS_PER_ERA = 1 << 40

MAX_ERA = (1 << 20) - 1


def combine_revision(era: int, number: int) -> int:
    """Return the ordered revision of an era and the store's own revision.

    Args:
        era: Number of times that the store was restored, up to `MAX_ERA`.
        number: The store's own revision.

    Raises:
        ValueError: One of the numbers is out of range.
    """
    if not 0 <= era <= MAX_ERA or not 0 <= number < _REVISIONS_PER_ERA:
        raise ValueError(f"era {era} or revision {number} is out of range")
    return era * _REVISIONS_PER_ERA + number


def era_of(revision: int) -> int:
    """Return the era of an ordered revision."""
    return revision // _REVISIONS_PER_ERA


def number_of(revision: int) -> int:
    """Return the store's own revision that an ordered revision stands for."""
    return revision % _REVISIONS_PER_ERA


def format_revision(revision: int) -> str:
    """Return an ordered revision as text for logs: era and the store's own revision."""
    return f"{era_of(revision)}.{number_of(revision)}"
