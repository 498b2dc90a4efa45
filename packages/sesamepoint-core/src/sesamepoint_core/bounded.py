"""Dictionaries that keep no more than so many entries."""

from __future__ import annotations

from typing import TypeVar

KeyT = TypeVar('KeyT')
ValueT = TypeVar('ValueT')


def forget_oldest(kept: dict[KeyT, ValueT], most: int) -> None:
    """Drop the entry that was put in first if there are more than ``most``; asked after each that is added."""
    if len(kept) > most:
        kept.pop(next(iter(kept)))


__all__ = ('forget_oldest',)
