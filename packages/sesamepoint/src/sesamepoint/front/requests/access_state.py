"""The account of one request, and what ends or moves the work on it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.fleet_health.answer_sizes import AnswerSizes
    from sesamepoint_core.serving.accounts import Account, KeyFault
    from sesamepoint_core.serving.poison_requests import Incarnation


@dataclass
class AccessState:
    """The account of a request, and whether it may still be sent.

    Parameters
    ----------
    account
        None if the request belongs to no account.
    denial
        Why the request may no longer be sent: its key was revoked after it came.
    scope
        Cancels the work on the request.
    permits
        Runners whose rate limit granted a token, for one send each.
    checked
        Runners that were checked with such a token, which the request lacked then.
    run_started
        Whether a runner has begun to run the request.
    on_run_started
        Called when the first runner has begun to run it.
    work_offered
        Whether its work was counted as offered by its account.
    on_first_send
        Called when it is first sent to a runner.
    stops_at
        When the work on it ends before its time is over, as this instance stops, on trio's clock; infinite if not.
    answer_sizes
        Sizes of the whole answers of each route.
    may_move
        Tells whether it may be sent to another runner while its own is silent, and pays for that send.
    """

    account: Account | None = None
    denial: KeyFault | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    permits: set[Incarnation] = field(default_factory=set)
    checked: set[Incarnation] = field(default_factory=set)
    run_started: bool = False
    on_run_started: Callable[[], None] | None = None
    work_offered: bool = False
    on_first_send: Callable[[], None] | None = None
    stops_at: float = math.inf
    answer_sizes: AnswerSizes | None = None
    may_move: Callable[[], bool] | None = None

    @property
    def cut_short(self) -> bool:
        """Tell whether this instance stops before the time of the request is over."""
        return not math.isinf(self.stops_at)


__all__ = ('AccessState',)
