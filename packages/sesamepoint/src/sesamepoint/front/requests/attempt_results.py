"""Outcomes of an attempt at one runner, with tags for the log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from sesamepoint_core.body_end.decision import BreakCause, BrokenOff, Complete

if TYPE_CHECKING:
    from sesamepoint.http1.messages import ResponseHead


@dataclass(frozen=True)
class Relayed:
    """The complete answer of the runner was relayed to the caller."""

    tag: ClassVar[str] = 'relayed'
    status: int
    end: Complete


@dataclass(frozen=True)
class Unsent:
    """The request did not reach the runner.

    The flag is set if the cause is a limit of this process, not the runner.
    """

    tag: ClassVar[str] = 'unsent'
    cause: str
    local: bool = False


@dataclass(frozen=True)
class Withheld:
    """Nothing was sent, because the send check failed on ``condition`` after the runner was chosen."""

    tag: ClassVar[str] = 'withheld'
    condition: str


@dataclass(frozen=True)
class Rejected:
    """The runner stated that it did not run the request.

    The flag is set if another incarnation has its address by now.
    """

    tag: ClassVar[str] = 'rejected'
    status: int
    runner_replaced: bool = False


@dataclass(frozen=True)
class RunFailed:
    """The runner ran the request and answered with an error, whose body may be broken off.

    The flag is set if it is, and the runner no longer accepts connections.
    """

    tag: ClassVar[str] = 'run_failed'
    head: ResponseHead
    body: bytes
    end: Complete | BrokenOff
    runner_ended: bool = False


@dataclass(frozen=True)
class Broken:
    """No complete answer arrived; the request may have run.

    The flag is set if the runner no longer accepts connections, so that more
    than this answer was lost. ``end`` is that of the body; None if the connection broke before.
    """

    tag: ClassVar[str] = 'broken'
    cause: str
    runner_ended: bool = False
    end: BrokenOff | None = None

    @property
    def ended_early(self) -> bool:
        """Tell whether the runner ended the answer before it was whole, on a connection that did not break."""
        return self.end is not None and self.end.cause is not BreakCause.connection


@dataclass(frozen=True)
class Silent:
    """No output arrived before the silence timeout.

    The flag is set if the health of the runner counts that already.
    """

    tag: ClassVar[str] = 'silent'
    counted: bool = False


AttemptResult = Relayed | Unsent | Withheld | Rejected | RunFailed | Broken | Silent

__all__ = ('AttemptResult', 'Broken', 'Rejected', 'Relayed', 'RunFailed', 'Silent', 'Unsent', 'Withheld')
