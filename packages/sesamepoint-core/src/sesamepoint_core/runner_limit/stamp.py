"""Moments on clocks that have nothing to do with each other."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

# What peers tell is bounded before it is believed.
MAX_TIME = 1e12
MAX_START = 1_000_000_000_000_000_000
Moment = Annotated[float, msgspec.Meta(ge=-MAX_TIME, le=MAX_TIME)]
StartNumber = Annotated[int, msgspec.Meta(ge=0, lt=MAX_START)]


class Stamp(NamedTuple):
    """A moment on the clock of one start of an instance."""

    start: StartNumber
    at: Moment


__all__ = ('Moment', 'Stamp')
