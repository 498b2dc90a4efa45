"""Admission of requests by account rate limits and deadline margins."""

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
    """Checks account limits before a runner is chosen and adapts deadline margins to outcomes."""

    def __init__(self, follower: Follower, fleets: Fleets) -> None:
        """Start without history."""
        self._follower = follower
        self._fleets = fleets
        self._accounts = AccountLimits()
        self._margins: defaultdict[tuple[str, bool], DeadlineMargin] = defaultdict(DeadlineMargin)

    def check_account_rate(self, req: CallerRequest) -> NotRun | None:
        """Return a refusal if the request exceeds its account's rate limit, else None."""
        rate = self._follower.active_configuration.preset['account_rate']
        entries = self._fleets.instance_count(req.fleet)
        wait_s = self._accounts.wait_s(trio.current_time(), req.account, rate, entries)
        if not wait_s:
            return None
        return NotRun(ACCOUNT_LIMIT, 'send fewer, or ask for a higher account_rate', wait_s)

    def deadline_share(self, req: CallerRequest) -> float:
        """Return the share of its timeout within which a request must be expected to finish."""
        share = 1 - self._margin(req).share
        if req.job.urgent:
            return share
        return share * self._follower.active_configuration.preset['small_deadline_share']

    def observe(self, req: CallerRequest, *, late: bool) -> None:
        """Update the deadline margin with the outcome of an admitted request."""
        self._margin(req).observe(late=late)

    def _margin(self, req: CallerRequest) -> DeadlineMargin:
        return self._margins[req.fleet, req.job.urgent]


__all__ = ('ACCOUNT_LIMIT', 'Admission')
