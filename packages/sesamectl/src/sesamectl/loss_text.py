"""Report on lost worth, as text."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from sesamectl.loss_analysis import size_band
from sesamectl.size_shares import size_shares

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sesamectl.ended_requests import EndedRequests
    from sesamectl.loss_analysis import Loss, LossGroup, LostRequest
    from sesamectl.wait_estimates import WaitError

# Start of each window, in seconds since the first request ended, and its losses.
LossWindows = list[tuple[float, list['LostRequest']]]
# Rows shown of a table; the others are added up in one more row.
MAX_TABLE_ROWS = 14
MAX_WORST_WINDOWS = 4
MAX_CAUSES_PER_WINDOW = 3
NOT_SENT = 'sent to no runner'
NO_ACCOUNT = 'no account'


def loss_text(loss: Loss, errors: Sequence[WaitError], ended_requests: EndedRequests, window_s: float) -> str:
    """Return the tables, the largest losses first, and notes on what is missing."""
    blocks = [
        _heading(loss),
        _table('by cause', loss.grouped_by(cause_key), loss),
        _table('by route and cause', loss.grouped_by(route_key), loss),
        _table('by size of prompt and cause', loss.grouped_by(size_key), loss),
        _table('by runner and cause', loss.grouped_by(runner_key), loss),
        _table('by instance', loss.grouped_by(instance_key), loss),
        _table('by account', loss.grouped_by(account_key), loss) if _has_accounts(loss) else '',
        _worst_windows(loss, window_s),
        _size_table(loss),
        _wait_table(errors),
        '\n'.join(ended_requests.notes()),
    ]
    return '\n\n'.join(block for block in blocks if block)


def cause_key(one: LostRequest) -> tuple[str, ...]:
    """Return the cause of a loss, to group by."""
    return (one.cause,)


def route_key(one: LostRequest) -> tuple[str, ...]:
    """Return the route and the cause of a loss, to group by."""
    return one.ended.route, one.cause


def size_key(one: LostRequest) -> tuple[str, ...]:
    """Return the size band of the prompt and the cause of a loss, to group by."""
    return size_band(one.ended), one.cause


def runner_key(one: LostRequest) -> tuple[str, ...]:
    """Return the runner that got the request last and the cause of a loss, to group by."""
    return one.ended.last_runner or NOT_SENT, one.cause


def instance_key(one: LostRequest) -> tuple[str, ...]:
    """Return the instance that took the request, to group by."""
    return (one.ended.process,)


def account_key(one: LostRequest) -> tuple[str, ...]:
    """Return the client account of the request, to group by."""
    return (one.ended.account or NO_ACCOUNT,)


def split_into_windows(loss: Loss, window_s: float) -> LossWindows:
    """Return the start and the losses of each window that has any, in order of time."""
    losses: dict[int, list[LostRequest]] = defaultdict(list)
    for one in loss.lost:
        losses[int((one.ended.ended_s - loss.start_s) // window_s)].append(one)
    return [(index * window_s, losses[index]) for index in sorted(losses)]


def _heading(loss: Loss) -> str:
    worth = sum(loss.worth_by_route.values())
    lost = sum(one.worth for one in loss.lost)
    routes = len(loss.worth_by_route)
    total = f'{len(loss.ended)} requests of {routes} routes'
    return f'{total}, {len(loss.lost)} not on time; lost {_percent(lost, worth)} of their worth'


def _table(title: str, sums: Sequence[LossGroup], loss: Loss) -> str:
    if not sums:
        return ''
    worth = sum(loss.worth_by_route.values())
    lines = [f'{title:52}{"requests":>9}{"worth":>9}{"share":>8}{"seconds":>10}']
    lines += [_group_row(one, worth) for one in sums[:MAX_TABLE_ROWS]]
    others = sums[MAX_TABLE_ROWS:]
    if others:
        counts = (
            sum(one.requests for one in others),
            sum(one.worth for one in others),
            sum(one.time_s for one in others),
        )
        lines.append(_format_row(f'{len(others)} more rows', *counts, worth))
    return '\n'.join(lines)


def _group_row(one: LossGroup, worth: float) -> str:
    return _format_row(', '.join(one.name), one.requests, one.worth, one.time_s, worth)


def _format_row(name: str, requests: int, lost: float, time_s: float, worth: float) -> str:
    return f'{name:52}{requests:9}{lost:9.1f}{_percent(lost, worth):>8}{time_s:10.1f}'


def _worst_windows(loss: Loss, window_s: float) -> str:
    worst = sorted(split_into_windows(loss, window_s), key=lambda window: _total_worth(window[1]), reverse=True)
    lines = [
        f'from second {start_s:g}: {len(lost)} requests, worth {_total_worth(lost):.1f}: {_main_causes(lost)}'
        for start_s, lost in worst[:MAX_WORST_WINDOWS]
    ]
    return '\n'.join([f'worst windows of {window_s:g} s', *lines]) if lines else ''


def _main_causes(lost: Iterable[LostRequest]) -> str:
    worth_by_cause: dict[str, float] = defaultdict(float)
    for one in lost:
        worth_by_cause[one.cause] += one.worth
    largest = sorted(worth_by_cause.items(), key=lambda pair: (-pair[1], pair[0]))[:MAX_CAUSES_PER_WINDOW]
    return ', '.join(f'{cause} {worth:.1f}' for cause, worth in largest)


def _wait_table(errors: Sequence[WaitError]) -> str:
    if not errors:
        return ''
    head = f'{"queue waits, by route and expected wait":52}'
    lines = [f'{head}{"requests":>9}{"est. ms":>9}{"real ms":>8}{"right":>8}{"shorter":>9}{"longer":>8}']
    for one in errors:
        name = f'{one.route}, {one.wait_band}'
        columns = f'{one.requests:9}{one.expected_ms:9.0f}{one.actual_ms:8.0f}'
        lines.append(f'{name:52}{columns}{one.right:8}{one.shorter:9}{one.longer:8}')
    return '\n'.join(lines)


def _size_table(loss: Loss) -> str:
    shares = size_shares(loss.ended)
    if not shares:
        return ''
    head = f'{"callers served, by part of the sizes of their route":52}'
    lines = [f'{head}{"callers":>9}{"served":>9}{"on time":>9}{"refused":>9}{"of route":>9}']
    for one in shares:
        columns = (_percent(count, one.callers) for count in (one.served, one.on_time, one.refused))
        name = f'{one.route}, {one.part.replace("_", " ")}'
        text = ''.join(f'{column:>9}' for column in (*columns, _percent(one.of_route, 1)))
        lines.append(f'{name:52}{one.callers:9}{text}')
    return '\n'.join(lines)


def _has_accounts(loss: Loss) -> bool:
    return any(one.account for one in loss.ended)


def _total_worth(lost: Iterable[LostRequest]) -> float:
    return sum(one.worth for one in lost)


def _percent(part: float, whole: float) -> str:
    return f'{part / whole:.1%}' if whole else '-'


__all__ = (
    'LossWindows',
    'account_key',
    'cause_key',
    'instance_key',
    'loss_text',
    'route_key',
    'runner_key',
    'size_key',
    'split_into_windows',
)
