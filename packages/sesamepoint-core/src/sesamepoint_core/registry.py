"""Registries of named variants, filled by decorators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from sesamepoint_core.errors import UnknownNameError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

EntryT = TypeVar('EntryT')


class Registry(Generic[EntryT]):
    """Named variants of one kind.

    Parameters
    ----------
    kind
        What the variants are called in error messages.
    """

    def __init__(self, kind: str) -> None:
        """Start empty."""
        self._kind = kind
        self._entries: dict[str, EntryT] = {}

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names in alphabetical order."""
        return iter(sorted(self._entries))

    def __contains__(self, name: object) -> bool:
        """Tell whether ``name`` is registered."""
        return name in self._entries

    def register(self, name: str) -> Callable[[EntryT], EntryT]:
        """Return a decorator that registers its target under ``name``."""

        def decorate(entry: EntryT) -> EntryT:  # noqa: WPS430
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> EntryT:
        """Return the variant called ``name``.

        Raises
        ------
        UnknownNameError
            If nothing is registered under ``name``.
        """
        if name not in self._entries:
            raise UnknownNameError(self._kind, name, tuple(self))
        return self._entries[name]


__all__ = ('Registry',)
