"""Finding a caller's requests without their ids, and whether they ran."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint.front.failure_cause import FailureCause

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamectl.ended import Ended

NOT_RUN = frozenset(
    (
        FailureCause.refused,
        FailureCause.denied,
        FailureCause.rate_limited,
        FailureCause.backed_off,
        FailureCause.draining,
        FailureCause.no_runner,
        FailureCause.rejected_by_runners,
        FailureCause.not_run_in_time,
    )
)


class Search(NamedTuple):
    """What is known of a request.

    Parameters
    ----------
    caller
        The address that it came from; any if empty.
    route
        Its route; any if empty.
    ended_s
        About when it ended, in seconds of the day of the log's clock; None for any time.
    within_s
        How far from that it may lie.
    """

    caller: str = ''
    route: str = ''
    ended_s: float | None = None
    within_s: float = 60

    def matches(self, ended: Ended) -> bool:
        """Tell whether ``ended`` may be the request."""
        if self.caller not in {'', ended.caller} or self.route not in {'', ended.route}:
            return False
        return self.ended_s is None or abs(ended.second_of_day - self.ended_s) <= self.within_s


def find_requests(search: Search, ended: Iterable[Ended]) -> list[str]:
    """Return a line for each request that matches, in order of time, with whether it ran."""
    found = sorted((one for one in ended if search.matches(one)), key=_by_end)
    return [_line(one) for one in found]


def ran(ended: Ended) -> str:
    """Return whether a request has run, as far as the entry can know."""
    if ended.cause in NOT_RUN or not ended.sends:
        return 'it has not run, and never will'
    if ended.cause is FailureCause.runner_failed:
        return 'it ran, and failed at its runner'
    if ended.cause is FailureCause.none and ended.whole:
        return 'it ran, and the whole answer was sent'
    return 'it may have run, in part or whole: ask the runners named'


def _line(ended: Ended) -> str:
    runners = f', at {", ".join(ended.runners)}' if ended.runners else ''
    status = ended.status or 'none'
    told = f'status {status}, {ended.cause.replace("_", " ") or "answered"}, {ended.sends} sends{runners}'
    return f'{ended.asctime} {ended.request} ({ended.route}, {ended.process}): {told}; {ran(ended)}'


def _by_end(ended: Ended) -> str:
    return ended.asctime


__all__ = ('Search', 'find_requests', 'ran')
