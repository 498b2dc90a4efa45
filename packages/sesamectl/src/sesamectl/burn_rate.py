"""Burn rates of routes against their service-level objective, read from logs."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any, NamedTuple

from sesamepoint import events
from sesamectl.ended_requests import outcome_of, time_s
from sesamectl.log_lines import decode_line

if TYPE_CHECKING:
    from collections.abc import Iterable

ALL_ROUTES = 'all routes'
_CountsByWindow = dict[int, Counter[str]]


class Window(NamedTuple):
    """Requests of a route that ended in one time window.

    Parameters
    ----------
    start_s
        Start of the window, in seconds since the first request ended.
    counts
        Requests by outcome: ``on_time``, ``late``, ``refused``, ``failed``,
        ``left``.
    """

    start_s: float
    counts: Counter[str]

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return self.counts.total()

    def burn_rate(self, objective: float) -> float:
        """Return the share of requests that missed the objective, over the share that may.

        A burn rate of 1 just meets the objective. At 10, one window uses up
        what ten windows may miss.
        """
        if not self.total:
            return 0
        return (1 - self.counts['on_time'] / self.total) / (1 - objective)


class RouteBurn(NamedTuple):
    """Requests of one route, over the whole time and by window."""

    route: str
    overall: Window
    windows: tuple[Window, ...]

    def worst_window(self, objective: float) -> Window:
        """Return the window with the highest burn rate; of equals, the one with most requests."""
        return max(self.windows, key=lambda window: (window.burn_rate(objective), window.total))


def read_burn_rates(logs: Iterable[str], window_s: float) -> list[RouteBurn]:
    """Return the requests of all routes together, then of each route.

    Parameters
    ----------
    logs
        Log lines of all front processes, in any order.
    window_s
        Length of the windows, in seconds.
    """
    ends = [fields for text in logs if (fields := decode_line(text)) and _is_request_end(fields)]
    if not ends:
        return []
    first_s = min(time_s(fields['asctime']) for fields in ends)
    counts: dict[str, _CountsByWindow] = defaultdict(lambda: defaultdict(Counter))
    for fields in ends:
        index = int((time_s(fields['asctime']) - first_s) // window_s)
        for route in (ALL_ROUTES, fields['route']):
            counts[route][index][outcome_of(fields)] += 1
    return [_route_burn(name, counts[name], window_s) for name in sorted(counts, key=_sort_key)]


def _is_request_end(fields: dict[str, Any]) -> bool:
    return fields['event'] == events.ANSWER_ENDED.number and 'on_time' in fields


def _sort_key(route: str) -> tuple[bool, str]:
    return route != ALL_ROUTES, route


def _route_burn(route: str, counts_by_window: _CountsByWindow, window_s: float) -> RouteBurn:
    windows = tuple(Window(index * window_s, counts_by_window[index]) for index in sorted(counts_by_window))
    whole = Window(0, sum((window.counts for window in windows), Counter()))
    return RouteBurn(route, whole, windows)


__all__ = ('ALL_ROUTES', 'RouteBurn', 'Window', 'read_burn_rates')
