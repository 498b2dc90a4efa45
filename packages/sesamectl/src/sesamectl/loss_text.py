"""The report on what was lost, as text."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from sesamectl.loss import size_band

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sesamectl.ended import EndedRead
    from sesamectl.loss import Loss, Lost, Sum
    from sesamectl.waits import WaitError

# Windows by their start, in seconds from the first end, with what was lost in each.
Windows = list[tuple[float, list['Lost']]]
# Rows shown of a table; the rest is summed up in one.
SHOWN = 14
WORST_WINDOWS = 4
CAUSES_OF_WINDOW = 3


def loss_text(loss: Loss, errors: Sequence[WaitError], read: EndedRead, window_s: float) -> str:
    """Return the tables, the most costly rows first, and what was left out."""
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
    """Name what was lost by its cause."""
    return (one.cause,)


def by_route(one: Lost) -> tuple[str, ...]:
    """Name what was lost by its route and its cause."""
    return one.ended.route, one.cause


def by_size(one: Lost) -> tuple[str, ...]:
    """Name what was lost by the size of its prompt and its cause."""
    return size_band(one.ended), one.cause


def windows_of(loss: Loss, window_s: float) -> Windows:
    """Return the start and the losses of each window, in order of time."""
    found: dict[int, list[Lost]] = defaultdict(list)
    for one in loss.lost:
        found[int((one.ended.ended_s - loss.start_s) // window_s)].append(one)
    return [(place * window_s, found[place]) for place in sorted(found)]


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
    rest = sums[SHOWN:]
    if rest:
        counts = sum(one.requests for one in rest), sum(one.worth for one in rest), sum(one.time_s for one in rest)
        lines.append(_figures(f'{len(rest)} more rows', *counts, worth))
    return '\n'.join(lines)


def _row(one: Sum, worth: float) -> str:
    return _figures(', '.join(one.name), one.requests, one.worth, one.time_s, worth)


def _figures(name: str, requests: int, lost: float, time_s: float, worth: float) -> str:
    return f'{name:52}{requests:9}{lost:9.1f}{_share(lost, worth):>8}{time_s:10.1f}'


def _windows(loss: Loss, window_s: float) -> str:
    found = sorted(windows_of(loss, window_s), key=lambda window: _worth(window[1]), reverse=True)
    lines = [
        f'from second {start_s:g}: {len(lost)} requests, worth {_worth(lost):.1f}: {_main_causes(lost)}'
        for start_s, lost in found[:WORST_WINDOWS]
    ]
    return '\n'.join([f'worst windows of {window_s:g} s', *lines]) if lines else ''


def _main_causes(lost: Iterable[Lost]) -> str:
    worths: dict[str, float] = defaultdict(float)
    for one in lost:
        worths[one.cause] += one.worth
    main = sorted(worths.items(), key=lambda pair: (-pair[1], pair[0]))[:CAUSES_OF_WINDOW]
    return ', '.join(f'{cause} {worth:.1f}' for cause, worth in main)


def _waits(errors: Sequence[WaitError]) -> str:
    if not errors:
        return ''
    head = f'{"waits at the entry, by route and wait expected":52}'
    lines = [f'{head}{"requests":>9}{"told ms":>9}{"was ms":>8}{"right":>8}{"shorter":>9}{"longer":>8}']
    for one in errors:
        name = f'{one.route}, {one.load}'
        figures = f'{one.requests:9}{one.expected_ms:9.0f}{one.seen_ms:8.0f}'
        lines.append(f'{name:52}{figures}{one.right:8}{one.shorter:9}{one.longer:8}')
    return '\n'.join(lines)


def _worth(lost: Iterable[Lost]) -> float:
    return sum(one.worth for one in lost)


def _share(part: float, whole: float) -> str:
    return f'{part / whole:.1%}' if whole else '-'


__all__ = ('Windows', 'by_cause', 'by_route', 'by_size', 'loss_text', 'windows_of')
