"""Report of the work of accounts at one instance, for its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.fair_share.work import NO_WORK, Work, WorkGroup

if TYPE_CHECKING:
    from sesamepoint_core.fair_share.work_meter import WorkMeter

# Accounts that a report names. All others are reported as sums, one for each group.
MAX_NAMED = 16
# Groups with a sum of their own in a report, so that it fits into one packet.
MAX_SUMS = 16


class WorkRow(NamedTuple):
    """Work of one account in a group, or the sum of ``accounts`` unnamed accounts."""

    group: WorkGroup
    account: str
    work: Work
    accounts: int = 1
    named: bool = True


class WorkReport(NamedTuple):
    """Work of the accounts at one incarnation of an instance.

    Parameters
    ----------
    incarnation
        Start time of the sender. If its clock was set back before a restart, its reports
        are ignored until the last one from before has expired.
    number
        Number of the report since the sender started; a higher one replaces a lower one.
    valid_s
        Seconds until the receiver may expect the next report.
    """

    sender: str
    incarnation: int
    number: int
    valid_s: float
    rows: tuple[WorkRow, ...]


def report_rows(meter: WorkMeter, now: float, max_named: int = MAX_NAMED) -> tuple[WorkRow, ...]:
    """Return the largest accounts by name, and the sum of the others of each group."""
    rows = [
        WorkRow(group, account, work)
        for group in meter.groups()
        for account, work in meter.by_account(group, now).items()
    ]
    rows.sort(key=_size, reverse=True)
    return (*rows[:max_named], *_sums(rows[max_named:]))


def _sums(rows: list[WorkRow]) -> list[WorkRow]:
    sums: dict[WorkGroup, WorkRow] = {}
    for row in rows:
        total = sums.get(row.group) or WorkRow(row.group, '', NO_WORK, 0, named=False)
        sums[row.group] = total._replace(work=total.work.plus(row.work), accounts=total.accounts + 1)
    return sorted(sums.values(), key=_size, reverse=True)[:MAX_SUMS]


def _size(row: WorkRow) -> float:
    return max(row.work)


__all__ = ('MAX_NAMED', 'MAX_SUMS', 'WorkReport', 'WorkRow', 'report_rows')
