"""Fair shares of the accounts whose requests this instance serves."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.fair_share.fair_shares import FairShares
from sesamepoint_core.fair_share.methods import DEFAULT_METHOD, share_methods
from sesamepoint_core.fair_share.work import WorkGroup
from sesamepoint_core.units import whole_ms
from sesamepoint import events

if TYPE_CHECKING:
    from sesamepoint_core.fair_share.fair_shares import AccountStanding
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.clocks import Clock
    from sesamepoint.front.requests.job import Job

# An account that is above its share is logged at most once in so many seconds.
LOG_INTERVAL_S = 5.0
# Accounts whose last log time is remembered.
MAX_LOGGED = 1000


class JobShare(NamedTuple):
    """What the standing of its account means for a request.

    Parameters
    ----------
    order
        Requests of a lower order go first: by priority, then by the share of the account.
    above
        Whether its account is above its share.
    admitted
        Whether it may wait at all while runners are short.
    protected
        Whether it is refused only if it can't be answered at all.
    room_in_s
        Seconds until its account is within its share again.
    """

    order: tuple[int, float] = (0, 0)
    above: bool = False
    admitted: bool = True
    protected: bool = False
    room_in_s: float = 0


# All requests have this share where the configuration has no accounts.
EQUAL_SHARE = JobShare()


class AccountShares:
    """Counts the work of accounts, and tells how their requests stand."""

    def __init__(self, shares: FairShares) -> None:
        """Count with ``shares``; nothing is counted before a configuration has accounts."""
        self.shares = shares
        self.method = share_methods.get(DEFAULT_METHOD)
        self.active = False
        # Number of instances that share the runners, this one included.
        self.instances = 1
        self._by_priority = False
        self._logged_at: dict[tuple[WorkGroup, str], float] = {}

    @classmethod
    def from_clock(cls, name: str, clock: Clock) -> AccountShares:
        """Count for the instance ``name``, which starts now by ``clock``."""
        return cls(FairShares(name, whole_ms(clock.time_of_day())))

    def configure(self, cfg: Configuration) -> None:
        """Apply fair shares if ``cfg`` has accounts, within each priority if any account has one."""
        accounts = set(cfg.accounts.by_key.values()) if cfg.accounts else set()
        if self.active != bool(accounts):
            event = events.FAIR_SHARES_BEGUN if accounts else events.FAIR_SHARES_ENDED
            events.log_event(event, accounts=len(accounts), config_version=cfg.version)
        self.active = bool(accounts)
        self._by_priority = any(account.priority is not None for account in accounts)

    def note_offered(self, job: Job, work_s: float) -> None:
        """Count the work of a request, once for each attempt of its caller."""
        if self.active and not job.access.work_offered:
            job.access.work_offered = True
            self.shares.note_offered(self._group(job), _account_of(job), work_s, trio.current_time())

    def note_used(self, job: Job, work_s: float) -> None:
        """Count the work of a send to a runner, whatever becomes of its answer."""
        if self.active:
            self.shares.note_used(self._group(job), _account_of(job), work_s, trio.current_time())

    def share_of(self, job: Job, capacity: float | None = None) -> JobShare:
        """Return how a request stands now.

        Parameters
        ----------
        capacity
            Slot seconds that the runners of its service have in a second, if known.
        """
        if not self.active:
            return EQUAL_SHARE
        group, account = self._group(job), _account_of(job)
        standing = self.shares.standing(group, account, trio.current_time(), capacity)
        decision = self.method(standing)
        if decision.above or not decision.admitted:
            self._log_above(group, account, standing)
        order = (group.priority, decision.turn)
        return JobShare(order, decision.above, decision.admitted, decision.protected, standing.room_in_s)

    def count_above(self) -> int:
        """Return how many accounts with work here are above their shares."""
        return self.shares.count_above(trio.current_time()) if self.active else 0

    def _group(self, job: Job) -> WorkGroup:
        return WorkGroup(job.service, job.priority if self._by_priority else 0)

    def _log_above(self, group: WorkGroup, account: str, standing: AccountStanding) -> None:
        now = trio.current_time()
        if now - self._logged_at.get((group, account), -math.inf) < LOG_INTERVAL_S:
            return
        self._logged_at.pop((group, account), None)
        self._logged_at[(group, account)] = now
        drop_oldest(self._logged_at, MAX_LOGGED)
        events.log_event(
            events.ACCOUNT_ABOVE_SHARE,
            account=account,
            service=group.service,
            priority=group.priority,
            used_ms=whole_ms(standing.used_s),
            own_used_ms=whole_ms(standing.own_used_s),
            demand_ms=whole_ms(standing.demand_s),
            share_ms=whole_ms(standing.share_s),
        )


def _account_of(job: Job) -> str:
    """Return the name of the account; requests without one (of public routes) count as one account."""
    return job.access.account.name if job.access.account else ''


__all__ = ('EQUAL_SHARE', 'AccountShares', 'JobShare')
