"""Waiting for a runner that may go on with a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.stream_origin.resumption import NextStep, OriginRunner, next_step
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.front.requests.retry_after import default_retry_after_s, max_hold_s

if TYPE_CHECKING:
    from sesamepoint_core.stream_origin.origin import StreamOrigin
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet_member import Member

# Interval of the checks for a runner that replaces a crashed one, in seconds.
POLL_INTERVAL_S = 0.02


class OriginRunners:
    """The runners of the origins of streams, as one instance may use them."""

    def __init__(self, subset: EngineSubset) -> None:
        """Find runners in the instance's ``subset``, or in all of the fleet if that has none of an origin."""
        self._subset = subset

    async def wait_for_runner(self, job: Job) -> bool:
        """Wait until a runner may go on with the stream of ``job``; return False if there is none in time.

        A request that joins no stream needs no wait.
        """
        origin = job.stream.origin
        if origin is None:
            return True
        job.stream.moved = job.stream.begun
        began = trio.current_time()
        step = NextStep.wait
        with trio.move_on_after(max_hold_s(job.caller_left_s, job.first_output_left_s)):
            step = await self._wait_for_step(job, origin)
        if step is NextStep.run:
            return True
        job.trace.unsent_cause = FailureCause.origin_gone
        # A runner that replaces a crashed one may come yet; a version that has left does not come back.
        job.retry_after_s = default_retry_after_s(job.caller_left_s) if step is NextStep.wait else None
        events.log_event(
            events.STREAM_ORIGIN_GONE,
            request=job.req.request_id,
            fleet=origin.service,
            version=origin.version,
            begun=job.reply.started,
            waited_ms=whole_ms(trio.current_time() - began),
            runners=sorted(member.runner.key for member in self._subset.all_of_origin(origin)),
        )
        return False

    async def _wait_for_step(self, job: Job, origin: StreamOrigin) -> NextStep:
        while True:
            members = self._subset.all_of_origin(origin)
            step = next_step([_state_of(member, job) for member in members])
            if step is NextStep.run_again:
                _allow_again(job, members)
                return NextStep.run
            if step is not NextStep.wait:
                return step
            await trio.sleep(POLL_INTERVAL_S)


def _state_of(member: Member, job: Job) -> OriginRunner:
    key = member.runner.key
    # One whose registration was removed may yet show that it serves.
    lapsed = member.presence.lapsed(trio.current_time())
    ended = lapsed or member.ended or key in job.stream.rerun_at
    return OriginRunner(key, lapsed or key in job.tried_runners, ended, member.draining or member.replaced)


def _allow_again(job: Job, members: list[Member]) -> None:
    """Allow one more attempt at each live runner that the stream has been at."""
    for member in members:
        key = member.runner.key
        if not member.ended and key not in job.stream.rerun_at:
            job.tried_runners.pop(key, None)
            job.stream.rerun_at.add(key)


__all__ = ('OriginRunners',)
