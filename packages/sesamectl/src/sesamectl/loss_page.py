"""Report on lost worth, as one HTML page with charts."""

from __future__ import annotations

from html import escape
from itertools import starmap
from typing import TYPE_CHECKING, NamedTuple

from sesamectl.loss_text import cause_key, split_into_windows

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from sesamectl.loss_analysis import Loss, LostRequest
    from sesamectl.loss_text import LossWindows

# The causes with the largest losses have a colour each, all others the last one.
COLOURS = ('#c0504d', '#e3b23c', '#5b7fb5', '#4c9f70', '#8e6bbf', '#d98cb3', '#6bb5b0', '#9a9a9a')
OTHER_CAUSES = 'all others'
ALL_ROUTES = 'all routes'
WIDTH_PX = 900
HEIGHT_PX = 140
# Share of a window's width that its bar takes.
BAR_WIDTH_SHARE = 0.9
PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Lost worth</title><style>
body {{ font: 15px/1.4 sans-serif; margin: 2em; max-width: 62em; color: #222 }}
h2 {{ font-size: 1em; margin: 1.4em 0 0.2em }} svg {{ background: #f4f4f4 }} pre {{ font-size: 12px }}
.key {{ display: inline-block; margin-right: 1.2em }} .key i {{ display: inline-block; width: 0.9em; height: 0.9em }}
</style></head><body><h1>Lost worth by cause</h1>
<p>Bars: worth lost in windows of {window_s:g} s, by cause.</p>
<p>{keys}</p>{charts}<h2>Tables</h2><pre>{text}</pre></body></html>
"""


class _BarLayout(NamedTuple):
    """Positions of the bars, in pixels: the widths of a second and of a bar."""

    second_px: float
    bar_px: float


def loss_html(loss: Loss, text: str, window_s: float) -> str:
    """Return one page with a chart over all routes, one chart per route, and the tables in ``text``."""
    colours = _colour_by_cause(loss)
    keys = ''.join(starmap(_legend_entry, colours.items()))
    charts = ''.join(_charts(loss, colours, window_s))
    return PAGE_TEMPLATE.format(window_s=window_s, keys=keys, charts=charts, text=escape(text))


def _charts(loss: Loss, colours: Mapping[str, str], window_s: float) -> Iterator[str]:
    windows = split_into_windows(loss, window_s)
    if not windows:
        return
    span_s = windows[-1][0] + window_s
    places = _BarLayout(WIDTH_PX / span_s, BAR_WIDTH_SHARE * WIDTH_PX * window_s / span_s)
    yield _chart(ALL_ROUTES, windows, colours, places)
    for route in sorted(loss.worth_by_route):
        yield _chart(route, _windows_of_route(route, windows), colours, places)


def _windows_of_route(route: str, windows: LossWindows) -> LossWindows:
    return [(start_s, [one for one in lost if one.ended.route == route]) for start_s, lost in windows]


def _colour_by_cause(loss: Loss) -> dict[str, str]:
    causes = [one.name[0] for one in loss.grouped_by(cause_key)]
    shown = causes[: len(COLOURS) - 1]
    colours = dict(zip(shown, COLOURS, strict=False))
    if len(causes) > len(shown):
        colours[OTHER_CAUSES] = COLOURS[-1]
    return colours


def _legend_entry(cause: str, colour: str) -> str:
    return f'<span class="key"><i style="background:{colour}"></i> {escape(cause)}</span>'


def _chart(title: str, windows: LossWindows, colours: Mapping[str, str], layout: _BarLayout) -> str:
    heights = [(start_s, _worth_by_colour(lost, colours)) for start_s, lost in windows]
    highest = max((sum(worths.values()) for _, worths in heights), default=0)
    if not highest:
        return ''
    bars = ''.join(
        _stacked_bar(start_s * layout.second_px, worths, HEIGHT_PX / highest, layout.bar_px)
        for start_s, worths in heights
    )
    size = f'width="{WIDTH_PX}" height="{HEIGHT_PX}" viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}"'
    return f'<h2>{escape(title)}, highest bar {highest:.1f}</h2><svg {size}>{bars}</svg>'


def _worth_by_colour(lost: Iterable[LostRequest], colours: Mapping[str, str]) -> dict[str, float]:
    """Return the lost worth by colour, the largest cause first."""
    worth_by_colour = dict.fromkeys(colours.values(), float())
    for one in lost:
        worth_by_colour[colours.get(one.cause, COLOURS[-1])] += one.worth
    return worth_by_colour


def _stacked_bar(left: float, worth_by_colour: Mapping[str, float], scale: float, width: float) -> str:
    top = float(HEIGHT_PX)
    rects = []
    for colour, worth in worth_by_colour.items():
        top -= worth * scale
        position = f'x="{left:.1f}" width="{width:.1f}"'
        rects.append(f'<rect {position} y="{top:.1f}" height="{worth * scale:.1f}" fill="{colour}"/>')
    return ''.join(rects)


__all__ = ('loss_html',)
