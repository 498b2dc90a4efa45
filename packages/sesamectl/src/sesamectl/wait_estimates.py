"""Errors of the estimates of queue waits, read from logs."""

from __future__ import annotations

from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sesamectl.ended_requests import EndedRequest

# An estimate is right if the wait differs from it by at most this share of it, or
# by at most the milliseconds between two checks of the queue.
TOLERANCE_SHARE = 1 / 3
TOLERANCE_MS = 15
# Upper bounds of the bands of expected waits, in milliseconds.
WAIT_BANDS = ((150, 'under 0.15 s'), (500, '0.15 to 0.5 s'), (1500, '0.5 to 1.5 s'))
LONGEST_WAIT_BAND = 'over 1.5 s'


class WaitError(NamedTuple):
    """Requests of one route whose expected wait lay in the same band.

    The expected and the actual wait are medians, in milliseconds.

    Parameters
    ----------
    right, shorter, longer
        Requests whose wait was as expected to a third or 15 ms, shorter or
        longer.
    """

    route: str
    wait_band: str
    requests: int
    expected_ms: float
    actual_ms: float
    right: int
    shorter: int
    longer: int


def wait_errors(ended: Iterable[EndedRequest]) -> list[WaitError]:
    """Return the errors by route and band, over all requests that waited and were then sent."""
    groups: dict[tuple[str, str], list[EndedRequest]] = defaultdict(list)
    for one in ended:
        if one.wait_expected_ms is not None and one.sends:
            groups[one.route, _wait_band(one.wait_expected_ms)].append(one)
    return [_wait_error(*name, groups[name]) for name in sorted(groups)]


def _wait_band(expected_ms: int) -> str:
    return next((name for below, name in WAIT_BANDS if expected_ms < below), LONGEST_WAIT_BAND)


def _wait_error(route: str, wait_band: str, group: Sequence[EndedRequest]) -> WaitError:
    expected = [one.wait_expected_ms or 0 for one in group]
    actual = [one.held_ms for one in group]
    signs = [_compare_wait(was, expected_ms) for was, expected_ms in zip(actual, expected, strict=True)]
    return WaitError(
        route,
        wait_band,
        len(group),
        median(expected),
        median(actual),
        right=signs.count(0),
        shorter=signs.count(-1),
        longer=signs.count(1),
    )


def _compare_wait(actual_ms: float, expected_ms: float) -> int:
    """Return whether a wait was shorter (-1), right (0) or longer (1) than expected."""
    if abs(actual_ms - expected_ms) <= max(TOLERANCE_SHARE * expected_ms, TOLERANCE_MS):
        return 0
    return 1 if actual_ms > expected_ms else -1


__all__ = ('WaitError', 'wait_errors')
