"""What an entry lets in: account limits, and reserves of the deadline."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.admit.account_limits import AccountLimits
from sesamepoint_core.admit.deadline_margin import DeadlineMargin
from sesamepoint_core.answer.outcome import NotRun

if TYPE_CHECKING:
    from sesamepoint.control.follower import Follower
    from sesamepoint.entry.fleets import Fleets
    from sesamepoint.entry.request import CallerRequest

ACCOUNT_LIMIT = 'account_limit'


class Admission:
    """Decides before any runner is looked at, and learns from what came of it."""

    def __init__(self, follower: Follower, fleets: Fleets) -> None:
        """Start without history."""
        self._follower = follower
        self._fleets = fleets
        self._accounts = AccountLimits()
        self._margins: defaultdict[tuple[str, bool], DeadlineMargin] = defaultdict(DeadlineMargin)

    def over_limit(self, req: CallerRequest) -> NotRun | None:
        """Return the refusal of a request that is over its account's rate."""
        rate = self._follower.in_force.preset['account_rate']
        entries = self._fleets.entries(req.fleet)
        wait_s = self._accounts.wait_s(trio.current_time(), req.account, rate, entries)
        if not wait_s:
            return None
        return NotRun(ACCOUNT_LIMIT, 'send fewer, or ask for a higher account_rate', wait_s)

    def deadline_share(self, req: CallerRequest) -> float:
        """Return the part of its time in which a request must be done."""
        share = 1 - self._margin(req).share
        if req.job.urgent:
            return share
        return share * self._follower.in_force.preset['small_deadline_share']

    def observe(self, req: CallerRequest, *, late: bool) -> None:
        """Learn from a request that was let in."""
        self._margin(req).observe(late=late)

    def _margin(self, req: CallerRequest) -> DeadlineMargin:
        return self._margins[req.fleet, req.job.urgent]


__all__ = ('ACCOUNT_LIMIT', 'Admission')
