"""Report on the burn rates of routes, as text and as one HTML page."""

from __future__ import annotations

from html import escape
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamectl.burn import RouteBurn, Window

COLOURS = MappingProxyType(
    {'on_time': '#4c9f70', 'late': '#e3b23c', 'refused': '#5b7fb5', 'failed': '#c0504d', 'left': '#9a9a9a'}
)
OUTCOMES = tuple(COLOURS)
WIDTH = 900
HEIGHT = 120
# Space above the bars for their labels.
MARGIN = 16
# Share of a window's width that its bar takes.
BAR_SHARE = 0.9
PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body {{ font: 15px/1.4 sans-serif; margin: 2em; max-width: 60em; color: #222 }}
td, th {{ padding: 0.15em 0.9em; text-align: right }} td:first-child, th:first-child {{ text-align: left }}
h2 {{ font-size: 1em; margin: 1.4em 0 0.2em }} svg {{ background: #f4f4f4 }}
</style></head><body><h1>Service-level burn</h1>
<p>Objective: {objective:.1%} of the requests on time. A burn of 1 just meets it. Bars: requests by outcome in
windows of {window_s:g} s; the number above a window is its burn where that is over 1.</p>
<table><tr><th>route</th>{heads}<th>burn</th><th>worst window</th></tr>{rows}</table>
{charts}</body></html>
"""


class _Places(NamedTuple):
    """Positions of the bars: length of a window in seconds, and its width in pixels."""

    window_s: float
    width: float

    def left(self, window: Window) -> float:
        return window.start_s / self.window_s * self.width


def burn_text(burns: Sequence[RouteBurn], objective: float) -> str:
    """Return a table with one line per route."""
    heads = ''.join(f'{outcome:>9}' for outcome in OUTCOMES)
    lines = [f'{"route":24}{heads}{"burn":>8}   worst window']
    for burn in burns:
        counts = ''.join(f'{burn.whole.counts[outcome]:9}' for outcome in OUTCOMES)
        worst = burn.worst(objective)
        worst_text = f'{worst.burn(objective):.1f} from second {worst.start_s:g} ({worst.total} requests)'
        lines.append(f'{burn.route:24}{counts}{burn.whole.burn(objective):8.1f}   {worst_text}')
    return '\n'.join(lines)


def burn_html(burns: Sequence[RouteBurn], objective: float, window_s: float) -> str:
    """Return one page with the table and one chart per route, all on the same time axis."""
    last_s = max(burn.windows[-1].start_s for burn in burns)
    places = _Places(window_s, WIDTH / (last_s / window_s + 1))
    return PAGE.format(
        objective=objective,
        window_s=window_s,
        heads=''.join(map(_head, OUTCOMES)),
        rows=''.join(_row(burn, objective) for burn in burns),
        charts=''.join(_chart(burn, objective, places) for burn in burns),
    )


def _head(outcome: str) -> str:
    name = outcome.replace('_', ' ')
    return f'<th style="color:{COLOURS[outcome]}">{name}</th>'


def _row(burn: RouteBurn, objective: float) -> str:
    counts = ''.join(f'<td>{burn.whole.counts[outcome]}</td>' for outcome in OUTCOMES)
    worst = burn.worst(objective)
    cells = f'<td>{burn.whole.burn(objective):.1f}</td><td>{worst.burn(objective):.1f} from {worst.start_s:g} s</td>'
    return f'<tr><td>{escape(burn.route)}</td>{counts}{cells}</tr>'


def _chart(burn: RouteBurn, objective: float, places: _Places) -> str:
    tallest = max(window.total for window in burn.windows)
    bars = ''.join(
        _bars(window, places, HEIGHT / tallest) + _figure(window, objective, places.left(window))
        for window in burn.windows
    )
    height = HEIGHT + MARGIN
    size = f'width="{WIDTH}" height="{height}" viewBox="0 -{MARGIN} {WIDTH} {height}"'
    return f'<h2>{escape(burn.route)}</h2><svg {size}>{bars}</svg>'


def _bars(window: Window, places: _Places, scale: float) -> str:
    top = float(HEIGHT)
    rects = []
    for outcome in OUTCOMES:
        height = window.counts[outcome] * scale
        top -= height
        position = f'x="{places.left(window):.1f}" width="{places.width * BAR_SHARE:.1f}"'
        rects.append(f'<rect {position} y="{top:.1f}" height="{height:.1f}" fill="{COLOURS[outcome]}"/>')
    return ''.join(rects)


def _figure(window: Window, objective: float, left: float) -> str:
    burn = window.burn(objective)
    return f'<text x="{left:.1f}" y="-3" font-size="10">{burn:.0f}</text>' if burn > 1 else ''


__all__ = ('burn_html', 'burn_text')
