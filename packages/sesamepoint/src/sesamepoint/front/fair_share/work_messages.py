"""Messages between instances about the work of accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec

from sesamepoint_core.fair_share.work import Work, WorkGroup
from sesamepoint_core.fair_share.work_report import MAX_NAMED, MAX_SUMS, WorkReport, WorkRow
from sesamepoint_core.serving.poison_requests import MAX_NAME_CHARS
from sesamepoint_core.units import MS_PER_S, whole_ms

if TYPE_CHECKING:
    from collections.abc import Iterator

# Bounds for the values that peers send; messages beyond them are rejected. An hour of
# decayed work is more than all runners of a service do in the time constant of the decay.
MAX_WORK_MS = 3_600_000
MAX_VALID_MS = 120_000
MAX_NUMBER = 1_000_000_000_000_000
MAX_ACCOUNTS = 1_000_000
MAX_PRIORITY = 1_000_000
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
WorkMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_WORK_MS)]
ValidMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_VALID_MS)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
AccountCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCOUNTS)]
Priority = Annotated[int, msgspec.Meta(ge=-MAX_PRIORITY, le=MAX_PRIORITY)]


class AccountRow(NamedTuple):
    """Work of one account."""

    account: Name
    used_ms: WorkMs
    offered_ms: WorkMs


class UnnamedRow(NamedTuple):
    """Sum of the work of all accounts that a message does not name."""

    accounts: AccountCount
    used_ms: WorkMs
    offered_ms: WorkMs


class GroupRows(NamedTuple):
    """Rows of one service and priority."""

    service: Name
    priority: Priority
    named: Annotated[tuple[AccountRow, ...], msgspec.Meta(max_length=MAX_NAMED)]
    unnamed: UnnamedRow | None = None


class AccountWorkMessage(msgspec.Struct, frozen=True, array_like=True, tag='work'):
    """Decayed work of the accounts at the sender.

    Parameters
    ----------
    incarnation
        Start time of the sender, in ms since 1970 by its clock.
    number
        Number of the message since that start.
    valid_ms
        Time until the receiver may expect the next message.
    """

    entry: str
    incarnation: Number
    number: Number
    valid_ms: ValidMs
    groups: Annotated[tuple[GroupRows, ...], msgspec.Meta(max_length=MAX_NAMED + MAX_SUMS)]


def message_of(report: WorkReport) -> AccountWorkMessage:
    """Return the message that carries ``report``."""
    groups: dict[WorkGroup, GroupRows] = {}
    for row in report.rows:
        rows = groups.get(row.group) or GroupRows(row.group.service, row.group.priority, ())
        used_ms, offered_ms = map(_bounded_ms, row.work)
        if row.named:
            rows = rows._replace(named=(*rows.named, AccountRow(row.account, used_ms, offered_ms)))
        else:
            rows = rows._replace(unnamed=UnnamedRow(row.accounts, used_ms, offered_ms))
        groups[row.group] = rows
    valid_ms = min(whole_ms(report.valid_s), MAX_VALID_MS)
    return AccountWorkMessage(report.sender, report.incarnation, report.number, valid_ms, tuple(groups.values()))


def report_of(message: AccountWorkMessage) -> WorkReport:
    """Return the report that ``message`` carries."""
    rows = tuple(row for group in message.groups for row in _rows(group))
    return WorkReport(message.entry, message.incarnation, message.number, message.valid_ms / MS_PER_S, rows)


def _rows(rows: GroupRows) -> Iterator[WorkRow]:
    group = WorkGroup(rows.service, rows.priority)
    for row in rows.named:
        yield WorkRow(group, row.account, _work(row.used_ms, row.offered_ms))
    if rows.unnamed is not None and rows.unnamed.accounts:
        total = _work(rows.unnamed.used_ms, rows.unnamed.offered_ms)
        yield WorkRow(group, '', total, rows.unnamed.accounts, named=False)


def _work(used_ms: int, offered_ms: int) -> Work:
    return Work(used_ms / MS_PER_S, offered_ms / MS_PER_S)


def _bounded_ms(seconds: float) -> int:
    return min(whole_ms(seconds), MAX_WORK_MS)


__all__ = ('AccountRow', 'AccountWorkMessage', 'GroupRows', 'UnnamedRow', 'message_of', 'report_of')
