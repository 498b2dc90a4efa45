"""Counts repeats in sliding windows by what callers sent and what arrived at runners."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sesamepoint_standins.platform.runner import RunnerStandIn


class BudgetBound(NamedTuple):
    """The bound on repeats, as the operator of the runners states it.

    Parameters
    ----------
    ratio, slack
        Repeats that each request of a window allows, and those that are allowed beside.
    window_s
        Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class WorstWindow(NamedTuple):
    """The window that comes closest to its bound, or exceeds it by most."""

    began_at: float
    repeats: int
    requests: int
    allowed: float

    @property
    def excess(self) -> float:
        """Return the repeats beyond the bound; negative if it holds."""
        return self.repeats - self.allowed


def repeat_times(runners: Iterable[RunnerStandIn]) -> list[float]:
    """Return when requests of callers arrived at runners beyond the first arrival of each.

    The first prefill of a request that a runner accepted is no repeat. Arrivals that were rejected count.
    """
    arrivals: list[tuple[float, str]] = []
    prefills: list[str] = []
    for runner in runners:
        arrivals += [(at, request) for at, request in zip(runner.arrivals, runner.request_ids, strict=True) if request]
        prefills += [run.request_id for run in runner.runs if run.prefill]
    return repeats_of(arrivals, prefills)


def repeats_of(arrivals: Iterable[tuple[float, str]], accepted_prefills: Iterable[str]) -> list[float]:
    """Return the times of ``arrivals`` beyond the first of each request, by the requests of ``accepted_prefills``."""
    free_prefills = Counter(accepted_prefills)
    seen: Counter[str] = Counter()
    repeats = []
    for at, request in sorted(arrivals):
        seen[request] += 1
        if seen[request] > 1 + min(free_prefills[request], 1):
            repeats.append(at)
    return repeats


def worst_window(bound: BudgetBound, sent_at: Iterable[float], repeated_at: Iterable[float]) -> WorstWindow:
    """Return the worst window, over all that begin with a repeat.

    The requests are counted in the window, the one before it or the one half a window before it, whichever has most.
    """
    sent = sorted(sent_at)
    repeated = sorted(repeated_at)
    windows = []
    for index, began_at in enumerate(repeated):
        until = began_at + bound.window_s
        repeats = bisect_right(repeated, until) - index
        shifts = (0, bound.window_s / 2, bound.window_s)
        requests = max(_count(sent, began_at - shift, until - shift) for shift in shifts)
        windows.append(WorstWindow(began_at, repeats, requests, bound.ratio * requests + bound.slack))
    return max(windows, key=_excess, default=WorstWindow(0, 0, 0, bound.slack))


def _count(times: Sequence[float], since: float, until: float) -> int:
    return bisect_right(times, until) - bisect_left(times, since)


def _excess(window: WorstWindow) -> float:
    return window.excess


__all__ = ('BudgetBound', 'WorstWindow', 'repeat_times', 'repeats_of', 'worst_window')
