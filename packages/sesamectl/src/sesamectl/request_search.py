"""Search for requests by caller, route and time, with whether they ran."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint.front.requests.failure_cause import FailureCause

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamectl.ended_requests import EndedRequest

NOT_RUN_CAUSES = frozenset(
    (
        FailureCause.refused,
        FailureCause.denied,
        FailureCause.rate_limited,
        FailureCause.backed_off,
        FailureCause.draining,
        FailureCause.instance_lag,
        FailureCause.no_runner,
        FailureCause.rejected_by_runners,
        FailureCause.not_run_in_time,
    )
)


class RequestFilter(NamedTuple):
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

    def matches(self, ended: EndedRequest) -> bool:
        """Tell whether ``ended`` meets the conditions."""
        if self.caller not in {'', ended.caller} or self.route not in {'', ended.route}:
            return False
        return self.ended_s is None or abs(ended.second_of_day - self.ended_s) <= self.within_s


def find_requests(request_filter: RequestFilter, ended: Iterable[EndedRequest]) -> list[str]:
    """Return a line for each matching request, in order of time, which says whether it ran."""
    matching = sorted((one for one in ended if request_filter.matches(one)), key=_logged_at)
    return [_describe(one) for one in matching]


def describe_run(ended: EndedRequest) -> str:
    """Return a text on whether a request ran, as far as its instance can know."""
    if ended.cause in NOT_RUN_CAUSES or not ended.sends:
        return 'it has not run, and never will'
    if ended.cause is FailureCause.runner_failed:
        return 'it ran, and failed at its runner'
    if ended.cause is FailureCause.none and ended.whole:
        return 'it ran, and the whole answer was sent'
    return 'it may have run, in part or whole: check with the runners named'


def _describe(ended: EndedRequest) -> str:
    runners = f', at {", ".join(ended.runners)}' if ended.runners else ''
    status = ended.status or 'none'
    summary = f'status {status}, {ended.cause.replace("_", " ") or "answered"}, {ended.sends} sends{runners}'
    return f'{ended.asctime} {ended.request} ({ended.route}, {ended.process}): {summary}; {describe_run(ended)}'


def _logged_at(ended: EndedRequest) -> str:
    return ended.asctime


__all__ = ('RequestFilter', 'describe_run', 'find_requests')
