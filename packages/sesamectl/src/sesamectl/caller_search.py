"""Search for requests by caller, route and time, with whether they ran."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint.front.cause import Cause

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamectl.ended import Ended

NOT_RUN = frozenset(
    (
        Cause.refused,
        Cause.denied,
        Cause.limited,
        Cause.resting,
        Cause.leaving,
        Cause.no_runner,
        Cause.turned_away,
        Cause.not_run_in_time,
    )
)


class Search(NamedTuple):
    """Conditions that a request must meet to be found.

    Parameters
    ----------
    caller
        Address of its caller; any if empty.
    route
        Its route; any if empty.
    ended_s
        Approximate time at which it ended, in seconds since midnight by the
        clock of the logs; None for any time.
    within_s
        Largest distance from that time, in seconds.
    """

    caller: str = ''
    route: str = ''
    ended_s: float | None = None
    within_s: float = 60

    def matches(self, ended: Ended) -> bool:
        """Tell whether ``ended`` meets the conditions."""
        if self.caller not in {'', ended.caller} or self.route not in {'', ended.route}:
            return False
        return self.ended_s is None or abs(ended.second_of_day - self.ended_s) <= self.within_s


def find_requests(search: Search, ended: Iterable[Ended]) -> list[str]:
    """Return a line for each matching request, in order of time, which says whether it ran."""
    matching = sorted((one for one in ended if search.matches(one)), key=_by_end)
    return [_line(one) for one in matching]


def ran(ended: Ended) -> str:
    """Return a text on whether a request ran, as far as its instance can know."""
    if ended.cause in NOT_RUN or not ended.sends:
        return 'it has not run, and never will'
    if ended.cause is Cause.runner_failed:
        return 'it ran, and failed at its runner'
    if ended.cause is Cause.none and ended.whole:
        return 'it ran, and the whole answer was sent'
    return 'it may have run, in part or whole: check with the runners named'


def _line(ended: Ended) -> str:
    runners = f', at {", ".join(ended.runners)}' if ended.runners else ''
    status = ended.status or 'none'
    summary = f'status {status}, {ended.cause.replace("_", " ") or "answered"}, {ended.sends} sends{runners}'
    return f'{ended.asctime} {ended.request} ({ended.route}, {ended.process}): {summary}; {ran(ended)}'


def _by_end(ended: Ended) -> str:
    return ended.asctime


__all__ = ('Search', 'find_requests', 'ran')
