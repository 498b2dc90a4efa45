"""Which waiting requests can't meet their deadlines."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class WaitingRequest(NamedTuple):
    """A waiting request.

    Parameters
    ----------
    due_s
        Seconds from now until an engine must have completed it.
    work_s
        Engine seconds that it takes.
    """

    due_s: float
    work_s: float


def late_requests(
    waiting: Sequence[WaitingRequest],
    free_in_s: float,
    time_factor: float,
    orders: Sequence[tuple[int, float]] | None = None,
) -> set[int]:
    """Return the indices of the requests that can't meet their deadlines.

    If a burst is served in the order of arrival, each request waits until it is just
    late, and engines work for answers that are late: two thirds of their time, as
    measured. Therefore requests that can't meet their deadlines aren't served before
    the others. Putting back the longest request instead of the last one (the algorithm
    of Moore and Hodgson) leaves fewer late in one queue. With several instances it
    served no more requests on time, and half as many again waited in vain.

    Parameters
    ----------
    waiting
        The waiting requests, in any order.
    free_in_s
        Seconds until an engine is free.
    time_factor
        Seconds that one engine second of this work takes: less than one if several
        engines share it, more if other requests wait for them too.
    orders
        The order of each request: those of a lower order go first, whenever they
        are due. None if all have the same.
    """
    late: set[int] = set()
    elapsed_s = free_in_s
    for _, turn, index in sorted(zip(orders or _same_order(waiting), waiting, range(len(waiting)), strict=True)):
        if elapsed_s + turn.work_s > turn.due_s:
            late.add(index)
        else:
            elapsed_s += turn.work_s * time_factor
    return late


def _same_order(waiting: Sequence[WaitingRequest]) -> list[tuple[int, float]]:
    return [(0, 0) for _ in waiting]


__all__ = ('WaitingRequest', 'late_requests')
