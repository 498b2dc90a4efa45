"""Ways to check the start of a runner that names a rate limit, on the same seeds of random faults.

Run by hand: python -m benchmarks.start_check_ways FIRST-SEED LAST-SEED
"""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

import trio

from sesamepoint.front.requests import start_check
from sesamepoint.front.runners.incarnation_check import FarEnd, check_incarnation
from sesamepoint.platform.runner_report import read_start_ms
from sesamepoint_core.registry import Registry
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.streams.version_faults import observe_seed

if TYPE_CHECKING:
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.http1.client import ClientConn

Check = Callable[['Member', 'ClientConn', 'Job'], Awaitable[FarEnd]]
WAYS: Registry[Check] = Registry('way to check a start')


class WayResult(NamedTuple):
    """Streams that callers saw, and calls for reports."""

    streams: int
    served: int
    mixed: int
    taken_up: int
    gone_on: int
    reports: int


def _limited(member: Member) -> bool:
    return member._runner_statuses.limits.limited(member.incarnation)  # noqa: SLF001


@WAYS.register('unchecked at a limit')
async def _unchecked(member: Member, conn: ClientConn, job: Job) -> FarEnd:
    """Take a runner with a limit for the registered one."""
    return FarEnd.expected if _limited(member) else await check_incarnation(member, conn, job)


@WAYS.register('unknown at a limit')
async def _unknown(member: Member, conn: ClientConn, job: Job) -> FarEnd:
    """Never ask a runner with a limit."""
    return FarEnd.unknown if _limited(member) else await check_incarnation(member, conn, job)


@WAYS.register('own permit')
async def _own_permit(member: Member, conn: ClientConn, job: Job) -> FarEnd:
    """Ask if there is a permit beside that of the request, and keep that for the request."""
    if conn.incarnation_checked or not _limited(member):
        return await check_incarnation(member, conn, job)
    limit = member._runner_statuses.limits._limits[member.incarnation]  # noqa: SLF001
    if not limit.take(trio.current_time()):
        return FarEnd.unknown
    admit = conn.admit
    conn.admit = None
    reported_ms = await read_start_ms(conn, member.runner.address)
    conn.admit = admit
    conn.incarnation_checked = reported_ms == member.incarnation.born_ms
    if not reported_ms:
        return FarEnd.unknown
    return FarEnd.expected if conn.incarnation_checked else FarEnd.other


@WAYS.register("the request's permit")
async def _permit_of_request(member: Member, conn: ClientConn, job: Job) -> FarEnd:
    """Ask with the permit of the request, which then waits for another one."""
    return await check_incarnation(member, conn, job)


def measure(way: Check, seed: int) -> WayResult:
    """Run one seed with one way."""
    with patch.object(start_check, 'check_incarnation', way):
        faults = run_virtual(observe_seed, seed, True, seed=seed)
    streams = [one.stream for one in faults.observed]
    taken_up = [stream for stream in streams if stream.taken_up and stream.events]
    return WayResult(
        len(streams),
        sum(stream.whole for stream in streams),
        sum(stream.mixed for stream in streams),
        len(taken_up),
        sum(stream.whole for stream in taken_up),
        sum(runner.report_calls for runner in faults.bench.runners.values()),
    )


def main() -> None:
    """Print the sums of each way over a range of seeds."""
    disable_logging()
    seeds = range(int(sys.argv[1]), int(sys.argv[2]) + 1)
    for name in WAYS:
        sums = [sum(column) for column in zip(*(measure(WAYS.get(name), seed) for seed in seeds), strict=True)]
        sys.stdout.write(f'{name}: {WayResult(*sums)}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
