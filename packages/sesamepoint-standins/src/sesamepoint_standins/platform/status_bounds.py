"""Users' bounds on requests to runners that have reported draining or back-off."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from collections.abc import Set as AbstractSet

    from sesamepoint_standins.platform.runner import RunnerStandIn
    from sesamepoint_standins.platform.runner_state import StatusReport

    # Returns whether an instance is excused for a request, by its host, the time at
    # which the status was reported to it, and the time of the request.
    ExcuseRule = Callable[[str, float, float], bool]

# An instance may send to a runner for this time after the runner reported draining to it.
DRAINING_COUNTED_FROM_S = 2.0
# Requests to a runner that asked for back-off are not counted for this time, and
# are limited to this number for the rest of the back-off.
BACK_OFF_COUNTED_FROM_S = 0.5
MAX_BACK_OFF_REQUESTS = 2
NO_TIMES: Final = frozenset[float]()


def never_excused(instance: str, reported_at: float, sent_at: float) -> bool:
    """Excuse no instance: return False."""
    return False


def caller_draining_violations(runner: RunnerStandIn, is_excused: ExcuseRule) -> list[str]:
    """Return the violations of :func:`draining_violations` by requests of callers, with the users' bound.

    Inventory calls are ignored: those for the previous runner at its address reach it as well.
    """
    return draining_violations(runner, is_excused=is_excused, ignored_times=runner.internal_at)


def draining_violations(
    runner: RunnerStandIn,
    counted_from_s: float = DRAINING_COUNTED_FROM_S,
    is_excused: ExcuseRule = never_excused,
    ignored_times: AbstractSet[float] = NO_TIMES,
) -> list[str]:
    """Return a line for each request sent later than ``counted_from_s`` seconds after ``runner`` reported draining.

    Requests for the previous runner at its address, which it rejects, are ignored.
    """
    reports = [one for one in runner.status_reports if one.draining]
    ignored = runner.misdirected_at | ignored_times
    counted = [pair for pair in zip(runner.arrivals, runner.sender_hosts, strict=True) if pair[0] not in ignored]
    return [
        f'leaving: {sender} sent {runner.key} a request more than {counted_from_s} s after the report'
        for at, sender in counted
        if any(
            one.instance == sender
            and one.reported_at + counted_from_s < at
            and not is_excused(sender, one.reported_at, at)
            for one in reports
        )
    ]


def back_off_violations(
    runner: RunnerStandIn,
    counted_from_s: float = BACK_OFF_COUNTED_FROM_S,
    max_requests: int = MAX_BACK_OFF_REQUESTS,
    is_excused: ExcuseRule = never_excused,
) -> list[str]:
    """Return a line for each back-off in which an instance sent ``runner`` more than ``max_requests`` requests.

    Requests are counted from ``counted_from_s`` seconds after its start.
    """
    reports = [one for one in runner.status_reports if one.back_off_s]
    counts = [(report, len(list(_back_off_arrivals(runner, report, counted_from_s, is_excused)))) for report in reports]
    return [
        f'rest: {report.instance} sent {runner.key} {count} requests in {report.back_off_s} s of back-off'
        for report, count in counts
        if count > max_requests
    ]


def _back_off_arrivals(
    runner: RunnerStandIn, report: StatusReport, counted_from_s: float, is_excused: ExcuseRule
) -> Iterator[float]:
    for at, sender in zip(runner.arrivals, runner.sender_hosts, strict=True):
        in_back_off = report.reported_at + counted_from_s < at < report.reported_at + report.back_off_s
        if sender == report.instance and in_back_off and not is_excused(sender, report.reported_at, at):
            yield at


__all__ = (
    'BACK_OFF_COUNTED_FROM_S',
    'DRAINING_COUNTED_FROM_S',
    'MAX_BACK_OFF_REQUESTS',
    'ExcuseRule',
    'back_off_violations',
    'caller_draining_violations',
    'draining_violations',
    'never_excused',
)
