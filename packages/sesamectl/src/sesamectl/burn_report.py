"""Report on the burn rates of routes, as text and as one HTML page."""

from __future__ import annotations

from html import escape
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamectl.burn_rate import RouteBurn, Window

COLOURS = MappingProxyType(
    {'on_time': '#4c9f70', 'late': '#e3b23c', 'refused': '#5b7fb5', 'failed': '#c0504d', 'left': '#9a9a9a'}
)
OUTCOMES = tuple(COLOURS)
WIDTH_PX = 900
HEIGHT_PX = 120
# Space above the bars for their labels.
TOP_MARGIN_PX = 16
# Share of a window's width that its bar takes.
BAR_WIDTH_SHARE = 0.9
PAGE_TEMPLATE = """<!doctype html>
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


class _BarLayout(NamedTuple):
    """Positions of the bars: length of a window in seconds, and its width in pixels."""

    window_s: float
    window_px: float

    def left_px(self, window: Window) -> float:
        return window.start_s / self.window_s * self.window_px


def burn_text(burns: Sequence[RouteBurn], objective: float) -> str:
    """Return a table with one line per route."""
    heads = ''.join(f'{outcome:>9}' for outcome in OUTCOMES)
    lines = [f'{"route":24}{heads}{"burn":>8}   worst window']
    for burn in burns:
        counts = ''.join(f'{burn.overall.counts[outcome]:9}' for outcome in OUTCOMES)
        worst = burn.worst_window(objective)
        worst_text = f'{worst.burn_rate(objective):.1f} from second {worst.start_s:g} ({worst.total} requests)'
        lines.append(f'{burn.route:24}{counts}{burn.overall.burn_rate(objective):8.1f}   {worst_text}')
    return '\n'.join(lines)


def burn_html(burns: Sequence[RouteBurn], objective: float, window_s: float) -> str:
    """Return one page with the table and one chart per route, all on the same time axis."""
    last_s = max(burn.windows[-1].start_s for burn in burns)
    places = _BarLayout(window_s, WIDTH_PX / (last_s / window_s + 1))
    return PAGE_TEMPLATE.format(
        objective=objective,
        window_s=window_s,
        heads=''.join(map(_header_cell, OUTCOMES)),
        rows=''.join(_table_row(burn, objective) for burn in burns),
        charts=''.join(_chart(burn, objective, places) for burn in burns),
    )


def _header_cell(outcome: str) -> str:
    name = outcome.replace('_', ' ')
    return f'<th style="color:{COLOURS[outcome]}">{name}</th>'


def _table_row(burn: RouteBurn, objective: float) -> str:
    counts = ''.join(f'<td>{burn.overall.counts[outcome]}</td>' for outcome in OUTCOMES)
    worst = burn.worst_window(objective)
    cells = (
        f'<td>{burn.overall.burn_rate(objective):.1f}</td>'
        f'<td>{worst.burn_rate(objective):.1f} from {worst.start_s:g} s</td>'
    )
    return f'<tr><td>{escape(burn.route)}</td>{counts}{cells}</tr>'


def _chart(burn: RouteBurn, objective: float, layout: _BarLayout) -> str:
    tallest = max(window.total for window in burn.windows)
    bars = ''.join(
        _stacked_bar(window, layout, HEIGHT_PX / tallest) + _burn_label(window, objective, layout.left_px(window))
        for window in burn.windows
    )
    height = HEIGHT_PX + TOP_MARGIN_PX
    size = f'width="{WIDTH_PX}" height="{height}" viewBox="0 -{TOP_MARGIN_PX} {WIDTH_PX} {height}"'
    return f'<h2>{escape(burn.route)}</h2><svg {size}>{bars}</svg>'


def _stacked_bar(window: Window, layout: _BarLayout, scale: float) -> str:
    top = float(HEIGHT_PX)
    rects = []
    for outcome in OUTCOMES:
        height = window.counts[outcome] * scale
        top -= height
        position = f'x="{layout.left_px(window):.1f}" width="{layout.window_px * BAR_WIDTH_SHARE:.1f}"'
        rects.append(f'<rect {position} y="{top:.1f}" height="{height:.1f}" fill="{COLOURS[outcome]}"/>')
    return ''.join(rects)


def _burn_label(window: Window, objective: float, left_px: float) -> str:
    burn = window.burn_rate(objective)
    return f'<text x="{left_px:.1f}" y="-3" font-size="10">{burn:.0f}</text>' if burn > 1 else ''


__all__ = ('burn_html', 'burn_text')
