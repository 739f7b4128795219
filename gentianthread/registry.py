"""Provide registries of named implementations."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .errors import UnknownEntryError

T = TypeVar("T")


class Registry(Generic[T]):
    """Map names to implementations, which are registered with a decorator."""

    def __init__(self, kind: str):
        """Create an empty registry.

        Args:
            kind: Kind of the entries, for error messages.
        """
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers an implementation.

        Args:
            name: Name by which declarations select it.

        Raises:
            ValueError: The name is already registered; raised by the decorator.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the implementation registered under a name.

        Raises:
            UnknownEntryError: The name is not registered.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownEntryError(self.kind, name, self.names()) from None

    def names(self) -> list[str]:
        """Return all registered names in alphabetical order."""
        return sorted(self._entries)

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(self.names())
