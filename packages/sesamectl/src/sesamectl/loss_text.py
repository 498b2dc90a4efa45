"""Report on lost worth, as text."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from sesamectl.loss import size_band

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sesamectl.ended import EndedRead
    from sesamectl.loss import Loss, Lost, Sum
    from sesamectl.waits import WaitError

# Start of each window, in seconds since the first request ended, and its losses.
Windows = list[tuple[float, list['Lost']]]
# Rows shown of a table; the others are added up in one more row.
SHOWN = 14
WORST_WINDOWS = 4
CAUSES_OF_WINDOW = 3


def loss_text(loss: Loss, errors: Sequence[WaitError], read: EndedRead, window_s: float) -> str:
    """Return the tables, the largest losses first, and notes on what is missing."""
    blocks = [
        _heading(loss),
        _table('by cause', loss.by(by_cause), loss),
        _table('by route and cause', loss.by(by_route), loss),
        _table('by size of prompt and cause', loss.by(by_size), loss),
        _windows(loss, window_s),
        _waits(errors),
        '\n'.join(read.notes()),
    ]
    return '\n\n'.join(block for block in blocks if block)


def by_cause(one: Lost) -> tuple[str, ...]:
    """Return the cause of a loss, to group by."""
    return (one.cause,)


def by_route(one: Lost) -> tuple[str, ...]:
    """Return the route and the cause of a loss, to group by."""
    return one.ended.route, one.cause


def by_size(one: Lost) -> tuple[str, ...]:
    """Return the size band of the prompt and the cause of a loss, to group by."""
    return size_band(one.ended), one.cause


def windows_of(loss: Loss, window_s: float) -> Windows:
    """Return the start and the losses of each window that has any, in order of time."""
    losses: dict[int, list[Lost]] = defaultdict(list)
    for one in loss.lost:
        losses[int((one.ended.ended_s - loss.start_s) // window_s)].append(one)
    return [(index * window_s, losses[index]) for index in sorted(losses)]


def _heading(loss: Loss) -> str:
    worth = sum(loss.worths.values())
    lost = sum(one.worth for one in loss.lost)
    routes = len(loss.worths)
    total = f'{len(loss.ended)} requests of {routes} routes'
    return f'{total}, {len(loss.lost)} not on time; lost {_share(lost, worth)} of their worth'


def _table(title: str, sums: Sequence[Sum], loss: Loss) -> str:
    if not sums:
        return ''
    worth = sum(loss.worths.values())
    lines = [f'{title:52}{"requests":>9}{"worth":>9}{"share":>8}{"seconds":>10}']
    lines += [_row(one, worth) for one in sums[:SHOWN]]
    others = sums[SHOWN:]
    if others:
        counts = (
            sum(one.requests for one in others),
            sum(one.worth for one in others),
            sum(one.time_s for one in others),
        )
        lines.append(_figures(f'{len(others)} more rows', *counts, worth))
    return '\n'.join(lines)


def _row(one: Sum, worth: float) -> str:
    return _figures(', '.join(one.name), one.requests, one.worth, one.time_s, worth)


def _figures(name: str, requests: int, lost: float, time_s: float, worth: float) -> str:
    return f'{name:52}{requests:9}{lost:9.1f}{_share(lost, worth):>8}{time_s:10.1f}'


def _windows(loss: Loss, window_s: float) -> str:
    worst = sorted(windows_of(loss, window_s), key=lambda window: _worth(window[1]), reverse=True)
    lines = [
        f'from second {start_s:g}: {len(lost)} requests, worth {_worth(lost):.1f}: {_main_causes(lost)}'
        for start_s, lost in worst[:WORST_WINDOWS]
    ]
    return '\n'.join([f'worst windows of {window_s:g} s', *lines]) if lines else ''


def _main_causes(lost: Iterable[Lost]) -> str:
    worth_by_cause: dict[str, float] = defaultdict(float)
    for one in lost:
        worth_by_cause[one.cause] += one.worth
    largest = sorted(worth_by_cause.items(), key=lambda pair: (-pair[1], pair[0]))[:CAUSES_OF_WINDOW]
    return ', '.join(f'{cause} {worth:.1f}' for cause, worth in largest)


def _waits(errors: Sequence[WaitError]) -> str:
    if not errors:
        return ''
    head = f'{"queue waits, by route and expected wait":52}'
    lines = [f'{head}{"requests":>9}{"est. ms":>9}{"real ms":>8}{"right":>8}{"shorter":>9}{"longer":>8}']
    for one in errors:
        name = f'{one.route}, {one.load}'
        columns = f'{one.requests:9}{one.expected_ms:9.0f}{one.seen_ms:8.0f}'
        lines.append(f'{name:52}{columns}{one.right:8}{one.shorter:9}{one.longer:8}')
    return '\n'.join(lines)


def _worth(lost: Iterable[Lost]) -> float:
    return sum(one.worth for one in lost)


def _share(part: float, whole: float) -> str:
    return f'{part / whole:.1%}' if whole else '-'


__all__ = ('Windows', 'by_cause', 'by_route', 'by_size', 'loss_text', 'windows_of')
