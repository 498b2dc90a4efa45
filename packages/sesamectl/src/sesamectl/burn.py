"""How fast routes use up what their objective lets them miss, by the logs."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any, NamedTuple

from sesamepoint import events
from sesamectl.ended import outcome_of, time_s
from sesamectl.log_lines import decode_line

if TYPE_CHECKING:
    from collections.abc import Iterable

ALL_ROUTES = 'all routes'
_ByPlace = dict[int, Counter[str]]


class Window(NamedTuple):
    """The requests of a route that ended in one span of time.

    Parameters
    ----------
    start_s
        Seconds since the first line.
    counts
        Requests by outcome: ``on_time``, ``late``, ``refused``, ``note_failed``,
        ``left``.
    """

    start_s: float
    counts: Counter[str]

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return self.counts.total()

    def burn(self, objective: float) -> float:
        """Return the share that missed, over the share that may miss.

        At 1 the objective is just met; at 10 what may be missed in ten
        windows is used up in one.
        """
        if not self.total:
            return 0
        return (1 - self.counts['on_time'] / self.total) / (1 - objective)


class RouteBurn(NamedTuple):
    """One route over the whole time, and window by window."""

    route: str
    whole: Window
    windows: tuple[Window, ...]

    def worst(self, objective: float) -> Window:
        """Return the window that burned fastest, the fuller one of equals."""
        return max(self.windows, key=lambda window: (window.burn(objective), window.total))


def read_burn(logs: Iterable[str], window_s: float) -> list[RouteBurn]:
    """Return the burn of all routes together, then of each.

    Parameters
    ----------
    logs
        Lines of all front processes, in any order.
    window_s
        Length of the windows, in seconds.
    """
    ends = [fields for text in logs if (fields := decode_line(text)) and _tells_end(fields)]
    if not ends:
        return []
    first = min(time_s(fields['asctime']) for fields in ends)
    counts: dict[str, _ByPlace] = defaultdict(lambda: defaultdict(Counter))
    for fields in ends:
        place = int((time_s(fields['asctime']) - first) // window_s)
        for route in (ALL_ROUTES, fields['route']):
            counts[route][place][outcome_of(fields)] += 1
    return [_route_burn(name, counts[name], window_s) for name in sorted(counts, key=_all_first)]


def _tells_end(fields: dict[str, Any]) -> bool:
    return fields['event'] == events.ANSWER_ENDED.number and 'on_time' in fields


def _all_first(route: str) -> tuple[bool, str]:
    return route != ALL_ROUTES, route


def _route_burn(route: str, by_place: _ByPlace, window_s: float) -> RouteBurn:
    windows = tuple(Window(place * window_s, by_place[place]) for place in sorted(by_place))
    whole = Window(0, sum((window.counts for window in windows), Counter()))
    return RouteBurn(route, whole, windows)


__all__ = ('ALL_ROUTES', 'RouteBurn', 'Window', 'read_burn')
