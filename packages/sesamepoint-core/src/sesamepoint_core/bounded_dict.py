"""Dictionaries with a bounded number of entries."""

from __future__ import annotations

from typing import TypeVar

KeyT = TypeVar('KeyT')
ValueT = TypeVar('ValueT')


def drop_oldest(entries: dict[KeyT, ValueT], max_entries: int) -> None:
    """Drop the oldest entry if the dictionary exceeds its bound; to be called after each insertion."""
    if len(entries) > max_entries:
        entries.pop(next(iter(entries)))


__all__ = ('drop_oldest',)
