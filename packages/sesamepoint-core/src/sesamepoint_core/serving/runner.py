"""A runner as it registers itself."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

import msgspec

from sesamepoint_core.serving.address import Address

# No start of a runner lies later (the year 2286), in milliseconds since 1970.
# A foreign word of a larger one would make every word of the real runner look
# older than it, for ever.
MAX_START_MS = 10_000_000_000_000
# A start as other processes tell it; 0 if they don't.
StartMs = Annotated[int, msgspec.Meta(ge=0, lt=MAX_START_MS)]


class Stage(Enum):
    """What an engine does: read prompts, or generate answers too."""

    prefill = 'prefill'
    decode = 'decode'
    plain = 'plain'


class Runner(NamedTuple):
    """One registered start of a runner.

    Parameters
    ----------
    key
        Names the runner; it may start again under the same key.
    leaving
        Whether it has said that it will stop.
    born_ms
        When this start began, in milliseconds since 1970 by the runner's
        clock; only compared with other starts of the same runner. 0 if it
        doesn't tell.
    """

    key: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    stage: Stage
    born_ms: int = 0


__all__ = ('MAX_START_MS', 'Runner', 'Stage', 'StartMs')
