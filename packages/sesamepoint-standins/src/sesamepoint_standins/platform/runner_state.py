"""Performance, runs and faults of a stand-in for a runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

if TYPE_CHECKING:
    from sesamepoint.http1.server import ReceivedRequest


class EngineSpeed(NamedTuple):
    """Performance of an engine.

    The defaults are the figures of the smaller deployment's sheet. Rates are in
    tokens/s; an event of a stream takes ``steps_per_event`` steps of ``step_s`` seconds,
    plus ``step_s_per_slot`` for each running request.
    """

    prefill_tokens_per_s: float = 112_000.0
    overhead_s: float = 0.031
    step_s: float = 0.0034
    step_s_per_slot: float = 0.0001
    steps_per_event: int = 10
    # Transfer of prefix blocks from another engine: 370 Gbit/s, 18 KB a token.
    fetch_s: float = 0.025
    fetch_tokens_per_s: float = 2_500_000.0
    kv_tokens: int = 548_319
    slots: int = 24

    def scaled(self, factor: float) -> EngineSpeed:
        """Return the performance of an engine that computes ``factor`` times as fast."""
        return self._replace(
            prefill_tokens_per_s=self.prefill_tokens_per_s * factor,
            step_s=self.step_s / factor,
            step_s_per_slot=self.step_s_per_slot / factor,
        )


@dataclass
class Run:
    """Run of one request at a runner."""

    request_id: str
    message: ReceivedRequest
    started_at: float
    ended_at: float | None = None
    complete: bool = False
    prefill: bool = False


class StatusReport(NamedTuple):
    """Status that a runner reported in an answer to the host ``instance``.

    ``back_off_s`` is the requested back-off in seconds, 0 without one.
    """

    reported_at: float
    instance: str
    draining: bool
    back_off_s: float
    request_id: str = ''


@dataclass
class Faults:
    """Current faults of a runner."""

    rejects: bool = False
    fails: bool = False
    failure_status: int = 500
    hangs: bool = False
    breaks_at_event: int | None = None
    breaks_before_answer: bool = False
    # Whether the connection is reset before the request runs.
    drops: bool = False
    # Whether the connection is closed without an answer.
    closes: bool = False
    # The place where its answers never end, as a key of the endless answers; empty if they end.
    endless: str = ''
    # Time on trio's clock until which it reads nothing, as a stopped process; what has arrived is read then.
    frozen_until: float = 0
    # Share of the requests that run but whose connection is reset before the answer.
    loses: float = 0
    answers_twice: bool = False
    # Factor on the times of prefills and steps that begin while it is set.
    slowdown: float = 1.0
    unsigned: bool = False
    # Whether the health page reports a failure; by itself it reports the runner healthy.
    unhealthy_page: bool = False
    # Whether its report does not come, or comes without its start.
    hides_report: bool = False
    hides_start: bool = False


class RunnerObserver(Protocol):
    """Records the requests of a runner, and says which faults it has."""

    def note_arrival(self, request_id: str) -> None:
        """Record a request that was read; the id is empty if no caller sent it."""

    def note_prefill(self, request_id: str) -> None:
        """Record a remote prefill that is accepted."""

    def current_faults(self) -> Faults:
        """Return its faults from now on."""


def single_fault(name: str) -> Faults:
    """Return the faults of a runner that has only the one called ``name``."""
    faults = Faults()
    setattr(faults, name, 'until close' if name == 'endless' else True)
    return faults


async def sleep_while_frozen(faults: Faults) -> None:
    """Wait until a runner no longer stands still."""
    if faults.frozen_until > trio.current_time():
        await trio.sleep_until(faults.frozen_until)


__all__ = ('EngineSpeed', 'Faults', 'Run', 'RunnerObserver', 'StatusReport', 'single_fault', 'sleep_while_frozen')
