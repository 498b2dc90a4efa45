"""Instances that exchange reports of work, and a simple oracle of the shares that follow from it."""

from __future__ import annotations

import math
from typing import NamedTuple

from sesamepoint_core.fair_share import work_meter
from sesamepoint_core.fair_share.fair_shares import AccountStanding, FairShares
from sesamepoint_core.fair_share.peer_work import EXPIRY_MEMORIES
from sesamepoint_core.fair_share.work import MEMORY_S, Work, WorkGroup
from sesamepoint_core.fair_share.work_report import WorkReport

GROUP = WorkGroup('llm')
VALID_S = 1.0
# Error of the figures that both sides may have, from small work that is forgotten.
TOLERANCE_S = 0.005
# Levels are computed again after this long, in seconds.
SETTLE_S = 0.2


class Entry(NamedTuple):
    """Work that was counted for an account at a time."""

    at: float
    account: str
    work: Work


class SentReport(NamedTuple):
    """A report in transit, with what the oracle expects of it."""

    sequence: int
    sender: str
    report: WorkReport
    expected: dict[str, Work]


class Received(NamedTuple):
    """The newest report of a peer, as the oracle knows it."""

    sent: SentReport
    at: float


class Instance:
    """One instance, and the oracle's copy of what it knows."""

    def __init__(self, name: str, incarnation: int) -> None:
        """Start without work."""
        self.name = name
        self.incarnation = incarnation
        self.shares = FairShares(name, incarnation)
        self.entries: list[Entry] = []
        self.received: dict[str, Received] = {}


class ShareWorld:
    """Some instances on one clock; reports may be lost, doubled and late."""

    def __init__(self, size: int) -> None:
        """Start ``size`` instances without work."""
        self.now: float = 100
        self.instances = [Instance(f'front-{number}', 1) for number in range(size)]
        self.held: list[tuple[int, SentReport]] = []
        self._sequence = 0

    def add_request(self, which: int, account: str, work_s: float, *, served: bool) -> None:
        """Count a request at an instance."""
        instance = self.instances[which]
        instance.shares.note_offered(GROUP, account, work_s, self.now)
        if served:
            instance.shares.note_used(GROUP, account, work_s, self.now)
        instance.entries.append(Entry(self.now, account, Work(work_s if served else 0, work_s)))

    def send(self, which: int) -> SentReport:
        """Return the next report of an instance."""
        instance = self.instances[which]
        self._sequence += 1
        report = instance.shares.next_report(VALID_S, self.now)
        return SentReport(self._sequence, instance.name, report, self._own_work(instance))

    def deliver(self, target: int, sent: SentReport) -> None:
        """Deliver a report to an instance."""
        instance = self.instances[target]
        instance.shares.on_report(sent.report, self.now)
        known = instance.received.get(sent.sender)
        if sent.sender != instance.name and (known is None or known.sent.sequence < sent.sequence):
            instance.received[sent.sender] = Received(sent, self.now)

    def restart(self, which: int) -> None:
        """Kill an instance and start it again."""
        old = self.instances[which]
        self.instances[which] = Instance(old.name, old.incarnation + 1)

    def standing(self, which: int, account: str) -> AccountStanding:
        """Return the standing of an account by the code under test."""
        return self.instances[which].shares.standing(GROUP, account, self.now)

    def expected_work(self, which: int) -> dict[str, Work]:
        """Return the work of all accounts that an instance should know of."""
        instance = self.instances[which]
        totals = self._own_work(instance)
        for received in instance.received.values():
            for account, work in received.sent.expected.items():
                aged = _aged(work, self.now - received.at - VALID_S)
                totals[account] = totals.get(account, Work()).plus(aged)
        return totals

    def _own_work(self, instance: Instance) -> dict[str, Work]:
        totals: dict[str, Work] = {}
        for entry in instance.entries:
            factor = math.exp(-(self.now - entry.at) / MEMORY_S)
            work = Work(factor * entry.work.used_s, factor * entry.work.offered_s)
            totals[entry.account] = totals.get(entry.account, Work()).plus(work)
        return {account: work for account, work in totals.items() if max(work) >= work_meter.MIN_WORK_S}


def level_by_bisection(demands: list[float], capacity_s: float) -> float:
    """Return the level at which the smaller of it and each demand add up to ``capacity_s``; infinite if none does."""
    if sum(demands) <= capacity_s:
        return math.inf
    low: float = 0
    high = max(demands)
    for _ in range(60):
        middle = (low + high) / 2
        if sum(min(demand, middle) for demand in demands) > capacity_s:
            high = middle
        else:
            low = middle
    return low


def _aged(work: Work, age_s: float) -> Work:
    if age_s > EXPIRY_MEMORIES * MEMORY_S:
        return Work()
    factor = math.exp(-max(age_s, 0) / MEMORY_S)
    return Work(factor * work.used_s, factor * work.offered_s)


__all__ = ('GROUP', 'SETTLE_S', 'TOLERANCE_S', 'VALID_S', 'ShareWorld', 'level_by_bisection')
