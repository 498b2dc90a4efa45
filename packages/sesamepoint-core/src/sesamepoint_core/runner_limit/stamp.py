"""Timestamps on the clocks of different instances, which can't be compared."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

# Bounds on numbers that peers send.
MAX_TIME = 1e12
MAX_INCARNATION = 1_000_000_000_000_000_000
Moment = Annotated[float, msgspec.Meta(ge=-MAX_TIME, le=MAX_TIME)]
IncarnationNumber = Annotated[int, msgspec.Meta(ge=0, lt=MAX_INCARNATION)]


class Stamp(NamedTuple):
    """A time on the clock of one incarnation of an instance."""

    incarnation: IncarnationNumber
    at: Moment


__all__ = ('Moment', 'Stamp')
