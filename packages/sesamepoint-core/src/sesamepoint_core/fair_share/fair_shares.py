"""Fair shares of work among accounts, over all instances."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.fair_share.max_min import Demand, fair_level
from sesamepoint_core.fair_share.peer_work import PeerTotals, PeerWork
from sesamepoint_core.fair_share.work import MEMORY_S, NO_WORK
from sesamepoint_core.fair_share.work_meter import WorkMeter
from sesamepoint_core.fair_share.work_report import MAX_NAMED, WorkReport, report_rows

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_core.fair_share.work import Work, WorkGroup

# How long a level is used before it is computed again, in seconds: the least time, and the
# time for each account and each peer. A computation takes a few microseconds for each
# account and each row of a peer, so it uses about 1% of a core at most.
LEVEL_INTERVAL_S = 0.05
LEVEL_INTERVAL_PER_ACCOUNT_S = 1e-4
LEVEL_INTERVAL_PER_PEER_S = 5e-3
# Where the capacity is unknown it counts as short while accounts ask for more than this multiple
# of the work that they used. Until then a fifth of all attempts are not served at most, so with
# one retry each 0.96 of the callers are. Work that waits briefly also counts as asked for, so the
# ratio is above 1 although capacity is not short.
SHORT_RATIO = 1.25


class AccountStanding(NamedTuple):
    """Work of an account over all instances, against its share.

    Parameters
    ----------
    used_s
        Decayed work that it used, in seconds.
    own_used_s
        The part of it that this instance sent to runners.
    demand_s
        Decayed work that it asked for.
    share_s
        What it gets by max-min fairness; infinite if there is enough for all.
    above
        Whether it used more than its share, by more than its latest request.
    room_in_s
        Seconds until it is within its share if it uses nothing until then.
    """

    used_s: float = 0
    own_used_s: float = 0
    demand_s: float = 0
    share_s: float = math.inf
    above: bool = False
    room_in_s: float = 0

    @property
    def within_limit(self) -> bool:
        """Tell whether it is within its share while there is not enough for all."""
        return not self.above and self.share_s < math.inf


class _Level(NamedTuple):
    """Level of a group, and the work at peers that it was computed from."""

    level_s: float
    peers: PeerTotals
    until: float


class FairShares:
    """Meters the work of accounts here, merges the reports of peers, and computes shares.

    Without a known capacity, the work that all accounts used is the capacity: while
    requests wait, runners have no more to give. Unless accounts ask for clearly more
    than that, there is enough for all.
    """

    def __init__(self, name: str, incarnation: int) -> None:
        """Start without work, for this ``incarnation`` of the instance ``name``."""
        self.meter = WorkMeter()
        self.peers = PeerWork()
        self._name = name
        self._incarnation = incarnation
        self._reports = 0
        self._levels: dict[tuple[WorkGroup, float | None], _Level] = {}

    def note_offered(self, group: WorkGroup, account: str, work_s: float, now: float) -> None:
        """Count a request of an account, once for each attempt that its caller makes."""
        self.meter.add_offered(group, account, work_s, now)

    def note_used(self, group: WorkGroup, account: str, work_s: float, now: float) -> None:
        """Count work that was sent to a runner for an account, whatever becomes of its answer."""
        self.meter.add_used(group, account, work_s, now)

    def standing(self, group: WorkGroup, account: str, now: float, capacity: float | None = None) -> AccountStanding:
        """Return the standing of an account.

        Parameters
        ----------
        capacity
            Seconds of work that runners do in a second, for this and more urgent
            priorities; None if it is unknown.
        """
        level = self._level(group, now, capacity)
        own = self.meter.work_of(group, account, now)
        total = own.plus(level.peers.by_account.get(account, NO_WORK))
        return AccountStanding(
            used_s=total.used_s,
            own_used_s=own.used_s,
            demand_s=total.offered_s,
            share_s=level.level_s,
            above=total.used_s > level.level_s + self.meter.latest_s(group, account),
            room_in_s=_decay_time_s(total.used_s, level.level_s),
        )

    def on_report(self, report: WorkReport, now: float) -> bool:
        """Take the report of a peer; return whether it is newer than what is known."""
        return report.sender != self._name and self.peers.update(report, now)

    def next_report(self, valid_s: float, now: float, max_named: int = MAX_NAMED) -> WorkReport:
        """Return the next report for peers, with at most ``max_named`` accounts by name; it is empty without work."""
        self._reports += 1
        return WorkReport(
            self._name, self._incarnation, self._reports, valid_s, report_rows(self.meter, now, max_named)
        )

    def count_above(self, now: float) -> int:
        """Return how many accounts that have work here are above their shares, counted in each group."""
        return sum(
            self.standing(group, account, now).above
            for group in self.meter.groups()
            for account in self.meter.by_account(group, now)
        )

    def _level(self, group: WorkGroup, now: float, capacity: float | None) -> _Level:
        known = self._levels.get((group, capacity))
        if known is not None and now < known.until:
            return known
        self._drop_outdated(now)
        level = self._new_level(group, now, capacity)
        self._levels[(group, capacity)] = level
        return level

    def _new_level(self, group: WorkGroup, now: float, capacity: float | None) -> _Level:
        peers = self.peers.totals(group, now)
        totals = dict(peers.by_account)
        for account, own in self.meter.by_account(group, now).items():
            totals[account] = totals.get(account, NO_WORK).plus(own)
        demands = [Demand(total.offered_s) for total in totals.values()]
        if peers.unnamed_accounts:
            demands.append(Demand(peers.unnamed.offered_s, peers.unnamed_accounts))
        if capacity is None:
            capacity_s = _used_s([peers.unnamed, *totals.values()])
            if sum(demand.work_s for demand in demands) <= SHORT_RATIO * capacity_s:
                capacity_s = math.inf
        else:
            capacity_s = capacity * MEMORY_S - self._more_urgent_s(group, now)
        return _Level(fair_level(demands, capacity_s), peers, now + self._interval_s(len(totals)))

    def _interval_s(self, accounts: int) -> float:
        return (
            LEVEL_INTERVAL_S + LEVEL_INTERVAL_PER_ACCOUNT_S * accounts + LEVEL_INTERVAL_PER_PEER_S * self.peers.count()
        )

    def _more_urgent_s(self, group: WorkGroup, now: float) -> float:
        """Return the work that more urgent priorities of the service used, by own figures and those of peers."""
        urgent = (one for one in self.meter.groups() if one.service == group.service and one.priority < group.priority)
        return sum(self._group_used_s(one, now) for one in urgent)

    def _group_used_s(self, group: WorkGroup, now: float) -> float:
        peers = self.peers.totals(group, now)
        return _used_s([peers.unnamed, *peers.by_account.values(), *self.meter.by_account(group, now).values()])

    def _drop_outdated(self, now: float) -> None:
        for key, level in tuple(self._levels.items()):
            if level.until < now - MEMORY_S:
                self._levels.pop(key)


def _used_s(works: Iterable[Work]) -> float:
    return sum(work.used_s for work in works)


def _decay_time_s(used_s: float, share_s: float) -> float:
    """Return the seconds in which ``used_s`` decays to ``share_s``."""
    if used_s <= share_s:
        return 0
    return MEMORY_S * math.log(used_s / share_s) if share_s > 0 else math.inf


__all__ = ('AccountStanding', 'FairShares')
