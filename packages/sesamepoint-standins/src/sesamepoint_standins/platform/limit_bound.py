"""Users' bound on the requests that a runner with a rate limit gets in a sliding window."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# The bound holds in any window of this length: the number of requests that the
# limit allows, times a factor, plus a constant.
SPAN_S = 4.0
SHARE = 1.5
MORE = 5
# Requests are not counted for this time after an instance could first know a limit.
KNOWN_S = 3.0


class Span(NamedTuple):
    """Number of requests in the window that ends at one of them, in seconds."""

    until: float
    requests: int


def bound(limit: float) -> float:
    """Return the maximum number of requests in a window, for a limit in requests/s."""
    return SHARE * SPAN_S * limit + MORE


def spans(times: Sequence[float]) -> Iterator[Span]:
    """Yield the window that ends at each of ``times``, which are sorted."""
    for number, until in enumerate(times, start=1):
        yield Span(until, number - bisect_right(times, until - SPAN_S))


__all__ = ('KNOWN_S', 'SPAN_S', 'Span', 'bound', 'spans')
