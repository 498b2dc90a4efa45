"""Comparison of ways to accept requests after the signal of a planned stop.

Run: python -m benchmarks.stop_ways [SEEDS]

Requests of all kinds around the signal, at a grace of 8 s. Refused callers go to the other instance, if there is one.
"""

from __future__ import annotations

import sys
from collections import Counter
from random import Random
from typing import TYPE_CHECKING
from unittest.mock import patch

import trio

from sesamepoint_core.registry import Registry
from sesamepoint.front.planned_stop.planned_stop import PlannedStop
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.planned_stop.stopped_requests import requests_around_stop

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.requests.job import Job
    from tests.front.planned_stop.stopped_requests import StoppedRequest

    Refuses = Callable[[PlannedStop, Job], bool]

GRACE_S = 8.0
# Seconds after the signal in which the first way accepts all requests.
ACCEPT_ALL_S = 2.8
OK = 200
WAYS: Registry[Refuses] = Registry('way to accept requests while an instance stops')

disable_logging()

_refuses = PlannedStop.refuses


@WAYS.register('accept all for 2.8 s')
def accept_at_first(stop: PlannedStop, job: Job) -> bool:
    """Accept all requests for a time."""
    began_at = stop.answer_by - GRACE_S
    return trio.current_time() > began_at + ACCEPT_ALL_S and _refuses(stop, job)


@WAYS.register('refuse what may outlast the instance')
def refuse_from_signal(stop: PlannedStop, job: Job) -> bool:
    """Refuse by the deadline, from the signal on."""
    return job.deadline > stop.answer_by


@WAYS.register('the same beside other instances, or if it may not be repeated')
def refuse_unless_alone(stop: PlannedStop, job: Job) -> bool:
    """Refuse by the deadline if another instance can take the request, or it may not run twice."""
    return _refuses(stop, job)


@WAYS.register('the same only if another instance is registered')
def refuse_beside_others(stop: PlannedStop, job: Job) -> bool:
    """Refuse by the deadline if another instance can take the request."""
    if stop._has_others:  # noqa: SLF001
        return _refuses(stop, job)
    stop.limit(job)
    return False


def _count(ended: list[StoppedRequest]) -> Counter[str]:
    """Count what became of the requests that were sent after the signal."""
    counts: Counter[str] = Counter()
    for each in ended:
        if each.sent_s < 0:
            continue
        served = each.answer.status == OK and each.answer.complete
        counts['sent'] += 1
        counts['served'] += served
        counts['cut'] += each.cut
        counts['came back'] += each.came_back
        counts['answered with an error'] += each.answer.complete and not served
    return counts


def _main(seeds: str = '4') -> None:
    for fronts in (1, 2):
        for name in WAYS:
            counts: Counter[str] = Counter()
            with patch.object(PlannedStop, 'refuses', WAYS.get(name)):
                for seed in range(int(seeds)):
                    counts.update(_count(run_virtual(requests_around_stop, Random(seed), GRACE_S, fronts)))
            sys.stdout.write(f'{fronts} instances, {name}: {dict(counts)}\n')


if __name__ == '__main__':
    _main(*sys.argv[1:])

__all__ = ('WAYS',)
