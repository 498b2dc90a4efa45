"""Report on lost worth, as one HTML page with charts."""

from __future__ import annotations

from html import escape
from itertools import starmap
from typing import TYPE_CHECKING, NamedTuple

from sesamectl.loss_text import by_cause, windows_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from sesamectl.loss import Loss, Lost
    from sesamectl.loss_text import Windows

# The causes with the largest losses have a colour each, all others the last one.
COLOURS = ('#c0504d', '#e3b23c', '#5b7fb5', '#4c9f70', '#8e6bbf', '#d98cb3', '#6bb5b0', '#9a9a9a')
OTHERS = 'all others'
ALL_ROUTES = 'all routes'
WIDTH = 900
HEIGHT = 140
# Share of a window's width that its bar takes.
BAR_SHARE = 0.9
PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Lost worth</title><style>
body {{ font: 15px/1.4 sans-serif; margin: 2em; max-width: 62em; color: #222 }}
h2 {{ font-size: 1em; margin: 1.4em 0 0.2em }} svg {{ background: #f4f4f4 }} pre {{ font-size: 12px }}
.key {{ display: inline-block; margin-right: 1.2em }} .key i {{ display: inline-block; width: 0.9em; height: 0.9em }}
</style></head><body><h1>Lost worth by cause</h1>
<p>Bars: worth lost in windows of {window_s:g} s, by cause.</p>
<p>{keys}</p>{charts}<h2>Tables</h2><pre>{text}</pre></body></html>
"""


class _Places(NamedTuple):
    """Positions of the bars, in pixels: the widths of a second and of a bar."""

    second_px: float
    window_px: float


def loss_html(loss: Loss, text: str, window_s: float) -> str:
    """Return one page with a chart over all routes, one chart per route, and the tables in ``text``."""
    colours = _colours(loss)
    keys = ''.join(starmap(_key, colours.items()))
    charts = ''.join(_charts(loss, colours, window_s))
    return PAGE.format(window_s=window_s, keys=keys, charts=charts, text=escape(text))


def _charts(loss: Loss, colours: Mapping[str, str], window_s: float) -> Iterator[str]:
    windows = windows_of(loss, window_s)
    if not windows:
        return
    span_s = windows[-1][0] + window_s
    places = _Places(WIDTH / span_s, BAR_SHARE * WIDTH * window_s / span_s)
    yield _chart(ALL_ROUTES, windows, colours, places)
    for route in sorted(loss.worths):
        yield _chart(route, _only(route, windows), colours, places)


def _only(route: str, windows: Windows) -> Windows:
    return [(start_s, [one for one in lost if one.ended.route == route]) for start_s, lost in windows]


def _colours(loss: Loss) -> dict[str, str]:
    causes = [one.name[0] for one in loss.by(by_cause)]
    shown = causes[: len(COLOURS) - 1]
    colours = dict(zip(shown, COLOURS, strict=False))
    if len(causes) > len(shown):
        colours[OTHERS] = COLOURS[-1]
    return colours


def _key(cause: str, colour: str) -> str:
    return f'<span class="key"><i style="background:{colour}"></i> {escape(cause)}</span>'


def _chart(title: str, windows: Windows, colours: Mapping[str, str], places: _Places) -> str:
    heights = [(start_s, _worths(lost, colours)) for start_s, lost in windows]
    highest = max((sum(worths.values()) for _, worths in heights), default=0)
    if not highest:
        return ''
    bars = ''.join(
        _stack(start_s * places.second_px, worths, HEIGHT / highest, places.window_px) for start_s, worths in heights
    )
    size = f'width="{WIDTH}" height="{HEIGHT}" viewBox="0 0 {WIDTH} {HEIGHT}"'
    return f'<h2>{escape(title)}, highest bar {highest:.1f}</h2><svg {size}>{bars}</svg>'


def _worths(lost: Iterable[Lost], colours: Mapping[str, str]) -> dict[str, float]:
    """Return the lost worth by colour, the largest cause first."""
    worth_by_colour = dict.fromkeys(colours.values(), float())
    for one in lost:
        worth_by_colour[colours.get(one.cause, COLOURS[-1])] += one.worth
    return worth_by_colour


def _stack(left: float, worths: Mapping[str, float], scale: float, width: float) -> str:
    top = float(HEIGHT)
    rects = []
    for colour, worth in worths.items():
        top -= worth * scale
        position = f'x="{left:.1f}" width="{width:.1f}"'
        rects.append(f'<rect {position} y="{top:.1f}" height="{worth * scale:.1f}" fill="{colour}"/>')
    return ''.join(rects)


__all__ = ('loss_html',)
