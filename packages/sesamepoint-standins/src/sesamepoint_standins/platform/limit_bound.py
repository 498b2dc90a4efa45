"""What users count of a runner that names a limit: the requests of any span of time."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# Users allow, in any span of so many seconds, so many times the limit and so many more.
SPAN_S = 4.0
SHARE = 1.5
MORE = 5
# Until so long after a limit could first be known, in seconds, nothing is counted.
KNOWN_S = 3.0


class Span(NamedTuple):
    """The requests of the span that ends at one of them."""

    until: float
    requests: int


def bound(limit: float) -> float:
    """Return the most requests that a runner with ``limit`` may get in a span."""
    return SHARE * SPAN_S * limit + MORE


def spans(times: Sequence[float]) -> Iterator[Span]:
    """Yield the span that ends at each of ``times``, which are in order."""
    for number, until in enumerate(times, start=1):
        yield Span(until, number - bisect_right(times, until - SPAN_S))


__all__ = ('KNOWN_S', 'SPAN_S', 'Span', 'bound', 'spans')
