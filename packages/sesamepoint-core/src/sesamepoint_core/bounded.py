"""Dictionaries with a bounded number of entries."""

from __future__ import annotations

from typing import TypeVar

KeyT = TypeVar('KeyT')
ValueT = TypeVar('ValueT')


def forget_oldest(kept: dict[KeyT, ValueT], most: int) -> None:
    """Drop the oldest entry if the dictionary exceeds its bound; to be called after each insertion."""
    if len(kept) > most:
        kept.pop(next(iter(kept)))


__all__ = ('forget_oldest',)
