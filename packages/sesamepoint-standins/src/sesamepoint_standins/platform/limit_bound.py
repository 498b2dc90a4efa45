"""Users' bound on the requests that a runner with a rate limit gets in a sliding window."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# The bound holds in any window of this length: the number of requests that the
# limit allows, times a factor, plus a constant.
WINDOW_S = 4.0
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
# Requests are not counted for this time after an instance could first know a limit.
LIMIT_KNOWN_S = 3.0


class RequestWindow(NamedTuple):
    """Number of requests in the window that ends at one of them, in seconds."""

    window_end: float
    requests: int


def max_requests(limit: float) -> float:
    """Return the maximum number of requests in a window, for a limit in requests/s."""
    return RATE_FACTOR * WINDOW_S * limit + EXTRA_REQUESTS


def request_windows(times: Sequence[float]) -> Iterator[RequestWindow]:
    """Yield the window that ends at each of ``times``, which are sorted."""
    for number, until in enumerate(times, start=1):
        yield RequestWindow(until, number - bisect_right(times, until - WINDOW_S))


__all__ = ('LIMIT_KNOWN_S', 'WINDOW_S', 'RequestWindow', 'max_requests', 'request_windows')
