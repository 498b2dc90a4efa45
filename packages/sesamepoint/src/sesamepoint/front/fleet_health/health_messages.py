"""Message between instances about the health of runners."""

from __future__ import annotations

import msgspec

from sesamepoint_core.fleet_health.reports import RunnerReport

# Rows of a message, so that it fits into one packet.
MAX_ROWS = 20


class RunnerHealthMessage(msgspec.Struct, frozen=True, array_like=True, tag='health'):
    """What the sender observed at runners in its current windows; only changed rows are sent."""

    entry: str
    rows: tuple[RunnerReport, ...]


__all__ = ('MAX_ROWS', 'RunnerHealthMessage')
