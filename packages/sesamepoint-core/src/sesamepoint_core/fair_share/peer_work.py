"""Work of the accounts at all peers, by their reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.fair_share.work import MEMORY_S, NO_WORK, Work, WorkGroup

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from sesamepoint_core.fair_share.work_report import WorkReport, WorkRow

# A report is dropped when it is older than its validity by this many time constants of the
# decay: less than 2% of it would still count.
EXPIRY_MEMORIES = 4


class PeerTotals(NamedTuple):
    """Work at all peers in one group.

    Parameters
    ----------
    by_account
        Work of the accounts that peers name.
    unnamed
        Sum of the work of all other accounts.
    unnamed_accounts
        How many accounts that sum stands for: the most that one peer has, since the
        small accounts of one peer are mostly those of the others.
    """

    by_account: dict[str, Work]
    unnamed: Work = NO_WORK
    unnamed_accounts: int = 0


class _Latest(NamedTuple):
    """Latest report of a peer."""

    report: WorkReport
    received_at: float

    def age_s(self, now: float) -> float:
        """Return for how many seconds the report has been out of date; negative while it is valid."""
        return now - self.received_at - self.report.valid_s


class PeerWork:
    """The latest report of each peer.

    A report holds the decayed work of its sender, not what was added since the one before.
    Therefore lost reports only make figures older, and doubled ones change nothing.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._latest: dict[str, _Latest] = {}

    def update(self, report: WorkReport, now: float) -> bool:
        """Replace the report of a peer; return False if a later one is known."""
        self._expire(now)
        known = self._latest.get(report.sender)
        if known is not None and not _supersedes(report, known.report):
            return False
        self._latest[report.sender] = _Latest(report, now)
        return True

    def forget(self, peer: str) -> None:
        """Drop the report of a peer that has left."""
        self._latest.pop(peer, None)

    def keep_only(self, peers: Iterable[str]) -> None:
        """Drop the reports of all but ``peers``."""
        for gone in self._latest.keys() - set(peers):
            self.forget(gone)

    def count(self) -> int:
        """Return the number of peers with a report."""
        return len(self._latest)

    def totals(self, group: WorkGroup, now: float) -> PeerTotals:
        """Return the work at all peers in ``group``; reports out of date decay, then expire."""
        self._expire(now)
        by_account: dict[str, Work] = {}
        unnamed, accounts = NO_WORK, 0
        for row, age_s in self._rows(group, now):
            work = row.work.decayed(age_s)
            if row.named:
                by_account[row.account] = by_account.get(row.account, NO_WORK).plus(work)
            else:
                unnamed, accounts = unnamed.plus(work), max(accounts, row.accounts)
        return PeerTotals(by_account, unnamed, accounts)

    def _rows(self, group: WorkGroup, now: float) -> Iterator[tuple[WorkRow, float]]:
        for latest in self._latest.values():
            age_s = latest.age_s(now)
            yield from ((row, age_s) for row in latest.report.rows if row.group == group)

    def _expire(self, now: float) -> None:
        for peer, latest in tuple(self._latest.items()):
            if latest.age_s(now) > EXPIRY_MEMORIES * MEMORY_S:
                self._latest.pop(peer)


def _supersedes(report: WorkReport, known: WorkReport) -> bool:
    return (report.incarnation, report.number) > (known.incarnation, known.number)


__all__ = ('EXPIRY_MEMORIES', 'PeerTotals', 'PeerWork')
