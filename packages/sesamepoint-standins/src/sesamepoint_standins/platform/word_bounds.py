"""Users' bounds on requests to runners that have reported draining or back-off."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from collections.abc import Set as AbstractSet

    from sesamepoint_standins.platform.runner import RunnerStandIn, Told

    # Returns whether an instance is excused for a request, by its host, the time at
    # which the status was reported to it, and the time of the request.
    Excused = Callable[[str, float, float], bool]

# An instance may send to a runner for this time after the runner reported draining to it.
DRAIN_S = 2.0
# Requests to a runner that asked for back-off are not counted for this time, and
# are limited to this number for the rest of the back-off.
REST_FROM_S = 0.5
REST_MOST = 2
NO_MOMENTS: Final = frozenset[float]()


def nobody(instance: str, since: float, until: float) -> bool:
    """Excuse no instance: return False."""
    return False


def requests_after_leaving(runner: RunnerStandIn, excused: Excused) -> list[str]:
    """Return the violations of :func:`after_leaving` by requests of callers, with the users' bound.

    Inventory calls are ignored: those for the previous runner at its address reach it as well.
    """
    return after_leaving(runner, excused=excused, but=runner.besides_at)


def after_leaving(
    runner: RunnerStandIn,
    within_s: float = DRAIN_S,
    excused: Excused = nobody,
    but: AbstractSet[float] = NO_MOMENTS,
) -> list[str]:
    """Return a line for each request sent later than ``within_s`` seconds after ``runner`` reported draining.

    Requests for the previous runner at its address, which it rejects, are ignored.
    """
    reports = [one for one in runner.told if one.leaving]
    ignored = runner.misdirected_at | but
    counted = [pair for pair in zip(runner.arrivals, runner.senders, strict=True) if pair[0] not in ignored]
    return [
        f'leaving: {sender} sent {runner.key} a request more than {within_s} s after the report'
        for at, sender in counted
        if any(one.sender == sender and one.at + within_s < at and not excused(sender, one.at, at) for one in reports)
    ]


def in_rest(
    runner: RunnerStandIn, since_s: float = REST_FROM_S, most: int = REST_MOST, excused: Excused = nobody
) -> list[str]:
    """Return a line for each back-off in which an instance sent ``runner`` more than ``most`` requests.

    Requests are counted from ``since_s`` seconds after its start.
    """
    reports = [one for one in runner.told if one.rest_s]
    counts = [(report, len(list(_between(runner, report, since_s, excused)))) for report in reports]
    return [
        f'rest: {report.sender} sent {runner.key} {count} requests in {report.rest_s} s of back-off'
        for report, count in counts
        if count > most
    ]


def _between(runner: RunnerStandIn, told: Told, since_s: float, excused: Excused) -> Iterator[float]:
    for at, sender in zip(runner.arrivals, runner.senders, strict=True):
        in_back_off = told.at + since_s < at < told.at + told.rest_s
        if sender == told.sender and in_back_off and not excused(sender, told.at, at):
            yield at


__all__ = (
    'DRAIN_S',
    'REST_FROM_S',
    'REST_MOST',
    'Excused',
    'after_leaving',
    'in_rest',
    'nobody',
    'requests_after_leaving',
)
