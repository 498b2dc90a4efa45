"""Who of those that wait can still be on time, and who stands back for them."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class Turn(NamedTuple):
    """One waiting request.

    Parameters
    ----------
    due_s
        Seconds from now by which an engine must be through with it.
    work_s
        Engine seconds that it takes.
    """

    due_s: float
    work_s: float


def late_turns(turns: Sequence[Turn], start_s: float, stretch: float) -> set[int]:
    """Return which of ``turns`` to put behind all others, by index.

    In a burst, served in the order of arrival, each request waits until it is
    just late, and engines work for late answers alone. This is the algorithm
    of Moore and Hodgson: in the order of due times, whenever one would be
    late, the longest so far is put behind. No other choice leaves fewer late.

    Parameters
    ----------
    turns
        What waits, in any order.
    start_s
        Seconds until an engine is free.
    stretch
        Seconds that pass for one engine second of this work: less than one
        if several engines share it, more if others wait for them too.
    """
    late: set[int] = set()
    kept: list[tuple[float, int]] = []
    through_s = start_s
    for index in sorted(range(len(turns)), key=lambda place: turns[place].due_s):
        turn = turns[index]
        heappush(kept, (-turn.work_s, index))
        through_s += turn.work_s * stretch
        if through_s > turn.due_s:
            longest_s, longest = heappop(kept)
            through_s += longest_s * stretch
            late.add(longest)
    return late


__all__ = ('Turn', 'late_turns')
