"""Registration record of a runner."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

import msgspec

from sesamepoint_core.serving.address import Address

# Upper bound of the start time of a runner, in milliseconds since 1970 (the year 2286).
# A false message with a later time would make all messages of the real runner look
# outdated for ever.
MAX_START_MS = 10_000_000_000_000
# A start time as received from another process; 0 if it is unknown.
StartMs = Annotated[int, msgspec.Meta(ge=0, lt=MAX_START_MS)]


class Stage(Enum):
    """What an engine does: prefill only, or decode too; ``plain`` runners are no engines."""

    prefill = 'prefill'
    decode = 'decode'
    plain = 'plain'


class Runner(NamedTuple):
    """One registered incarnation of a runner.

    Parameters
    ----------
    key
        Identifies the runner; it keeps its key when it restarts.
    draining
        Whether it has announced that it will stop.
    born_ms
        Start time of this incarnation, in milliseconds since 1970 by the runner's
        clock; compared only with those of other incarnations of the same runner. 0
        if it is unknown.
    software_version
        Version of its software, not of its weights; None until its registration says it.
    sequence
        Grows with the registrations that one incarnation writes, or stays as it is; never goes back.
    """

    key: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    stage: Stage
    born_ms: int = 0
    software_version: str | None = None
    sequence: int = 0

    def differs_from(self, other: Runner | None) -> bool:
        """Tell whether a registration says something else than ``other``; a renewal alone does not."""
        return other is None or self._replace(sequence=other.sequence) != other


__all__ = ('MAX_START_MS', 'Runner', 'Stage', 'StartMs')
