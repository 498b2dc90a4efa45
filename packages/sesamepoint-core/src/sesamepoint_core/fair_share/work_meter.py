"""Meter of the work of the accounts at one instance."""

from __future__ import annotations

from typing import NamedTuple

from sesamepoint_core.fair_share.work import NO_WORK, Work, WorkGroup

# Accounts with less decayed work than this many seconds are forgotten.
MIN_WORK_S = 1e-4


class _Measured(NamedTuple):
    """Work as of a time, and the work of the account's latest request."""

    work: Work
    at: float
    latest_s: float

    def at_time(self, now: float) -> Work:
        return self.work.decayed(now - self.at)


class WorkMeter:
    """Decayed work of each account, by service and priority."""

    def __init__(self) -> None:
        """Start without work."""
        self._groups: dict[WorkGroup, dict[str, _Measured]] = {}

    def add_offered(self, group: WorkGroup, account: str, work_s: float, now: float) -> None:
        """Count a request of an account that takes ``work_s`` seconds."""
        self._add(group, account, Work(offered_s=work_s), now)

    def add_used(self, group: WorkGroup, account: str, work_s: float, now: float) -> None:
        """Count ``work_s`` seconds of work that was sent to a runner for an account."""
        self._add(group, account, Work(used_s=work_s), now)

    def groups(self) -> tuple[WorkGroup, ...]:
        """Return the groups in which any account has work."""
        return tuple(self._groups)

    def count(self) -> int:
        """Return the number of accounts with work, counted in each group."""
        return sum(map(len, self._groups.values()))

    def work_of(self, group: WorkGroup, account: str, now: float) -> Work:
        """Return the decayed work of an account."""
        measured = self._groups.get(group, {}).get(account)
        return measured.at_time(now) if measured else NO_WORK

    def latest_s(self, group: WorkGroup, account: str) -> float:
        """Return the work of the account's latest request, in seconds."""
        measured = self._groups.get(group, {}).get(account)
        return measured.latest_s if measured else 0

    def by_account(self, group: WorkGroup, now: float) -> dict[str, Work]:
        """Return the decayed work of all accounts of a group."""
        return {account: measured.at_time(now) for account, measured in self._groups.get(group, {}).items()}

    def prune(self, now: float) -> None:
        """Forget accounts whose work has decayed."""
        for group, accounts in tuple(self._groups.items()):
            for account, measured in tuple(accounts.items()):
                if max(measured.at_time(now)) < MIN_WORK_S:
                    accounts.pop(account)
            if not accounts:
                self._groups.pop(group)

    def _add(self, group: WorkGroup, account: str, work: Work, now: float) -> None:
        accounts = self._groups.setdefault(group, {})
        measured = accounts.get(account) or _Measured(NO_WORK, now, 0)
        accounts[account] = _Measured(measured.at_time(now).plus(work), now, max(work))


__all__ = ('MIN_WORK_S', 'WorkMeter')
