"""Arrivals of one request at runners, as the bound on repeats counts them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import trio


class SendReason(StrEnum):
    """Why a request is sent to a runner."""

    first = 'first'
    prefill = 'prefill'
    decode = 'decode'
    retry = 'retry'
    resumption = 'resumption'
    probe = 'probe'


class Arrival(NamedTuple):
    """A send of a request that reaches its runner.

    Parameters
    ----------
    extra
        Whether the bound on repeats counts it.
    first_sent_ago_s
        Seconds since the request was first sent.
    """

    request_id: str
    runner: str
    reason: SendReason
    extra: bool
    first_sent_ago_s: float


ArrivalCallback = Callable[[Arrival], None]


@dataclass
class Arrivals:
    """Counts the arrivals of one request.

    Parameters
    ----------
    on_arrival
        Called at each arrival.
    counted
        Arrivals without the first remote prefill that a runner accepted, which is free.
    """

    on_arrival: ArrivalCallback | None = None
    counted: int = 0
    has_free_prefill: bool = False
    first_at: float | None = None

    def note(self, request_id: str, runner: str, reason: SendReason) -> None:
        """Count a send whose first bytes go out now."""
        now = trio.current_time()
        if self.first_at is None:
            self.first_at = now
        arrival = Arrival(request_id, runner, reason, self.counted > 0, now - self.first_at)
        self.counted += 1
        if self.on_arrival is not None:
            self.on_arrival(arrival)

    def note_accepted_prefill(self) -> bool:
        """Count a remote prefill that its runner accepted; return whether it is the free one."""
        if self.has_free_prefill:
            return False
        self.has_free_prefill = True
        self.counted -= 1
        return True


__all__ = ('Arrival', 'Arrivals', 'SendReason')
