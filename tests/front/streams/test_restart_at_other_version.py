"""A runner restarts under its key at another version while its registration is still that of before.

The store is down, so the instances go on with the version of before. New connections lead to the new process, which
accepts requests for its key: streams of the old version went on there, and streams that began there were remembered
under the old version.
"""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Any
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.body_end.body_facts import Framing
from sesamepoint.front.requests import start_check
from sesamepoint.front.runners.incarnation_check import FarEnd
from sesamepoint.platform import wire_names
from sesamepoint_core.runner_limit.shared_limit import STARTUP_HOLD_S
from sesamepoint_core.stream_origin.origin_memory import MIN_RETENTION_S
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.runner_state import Faults
from sesamepoint_standins.platform.stream_caller import marked_events
from tests.front.builders import new_prompt_request
from tests.front.streams.builders import break_streams, run_streams, stream_configuration, versioned_engines
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint.front.runners.send_check import SendPurpose
    from sesamepoint.http1.client import ClientConn
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.runner import RunnerStandIn
    from sesamepoint_standins.platform.stream_caller import TakenStream

BORN_MS = 1_700_000_000_000
STREAMS = 15
EVENTS = 8
STATUS_NOT_RUN = 503
# Rate limit that runners name, in requests a second; the load stays below it.
LIMIT = b'60'
# Users ask that so large a share of the taken-up streams goes on.
MIN_SHARE_GONE_ON = 0.5
# Longer than a check of a runner is believed, in seconds.
FREEZE_S = 0.5


def restart(bench: PlatformBench, runner: RunnerStandIn, version: str) -> None:
    """Restart a runner under its key and address; the store does not show it."""
    bench.network.close(runner.address)
    bench.network.reset_all(runner.address.host)
    runner.restart(runner.born_ms + 1, version)
    bench.network.listen(runner.address, runner.serve)


async def streams_after_restart(attempts: int, **changes: Any) -> list[TakenStream]:
    """Run streams while two of three runners restart at another version, unseen, and each breaks what it begins."""
    runners = versioned_engines(1, 3, 'v1', born_ms=BORN_MS, **changes)
    async with open_bench(stream_configuration(attempts), runners, fronts=2) as bench:
        await run_streams(bench, 3, ['front-1', 'front-2'])
        bench.store.unavailable = True
        await trio.sleep(0.1)
        for runner in runners[:2]:
            restart(bench, runner, 'v2')
        break_streams(runners)
        return await run_streams(bench, STREAMS, ['front-1', 'front-2', 'front-2'])


async def streams_with_unknown_start(fault: str, attempts: int) -> list[TakenStream]:
    """Run streams as :func:`streams_after_restart` does, where the restarted runners do not report their start."""
    runners = versioned_engines(1, 4, 'v1', born_ms=BORN_MS)
    async with open_bench(stream_configuration(attempts), runners, fronts=2) as bench:
        await run_streams(bench, 3, ['front-1', 'front-2'])
        bench.store.unavailable = True
        await trio.sleep(0.1)
        break_streams(runners)
        for runner in runners[:2]:
            setattr(runner.faults, fault, True)
            restart(bench, runner, 'v2')
        return await run_streams(bench, STREAMS, ['front-1', 'front-2', 'front-2'])


def share_whole(streams: list[TakenStream]) -> float:
    """Return the share of the taken-up streams that went on to their end."""
    taken_up = [stream for stream in streams if stream.taken_up and stream.events]
    return sum(stream.whole for stream in taken_up) / len(taken_up)


class RestartAtOtherVersionTest(TestCase):
    """Streams before the registration of the new incarnation is known."""

    @in_virtual_time
    async def test_within_answer(self) -> None:
        """Guards against a stream that goes on, within one answer, at a runner that has restarted unseen."""
        streams = await streams_after_restart(attempts=2)
        self.assertEqual([stream.versions for stream in streams if stream.mixed], [])

    @in_virtual_time
    async def test_over_attempts(self) -> None:
        """Guards against a stream that begins at a runner which has restarted unseen, and is taken up elsewhere."""
        streams = await streams_after_restart(attempts=1)
        self.assertEqual([stream.versions for stream in streams if stream.mixed], [])

    @in_virtual_time
    async def test_runners_with_rate_limit(self) -> None:
        """Guards against a rate limit that keeps the start of a runner from being checked."""
        for attempts in (1, 2):
            with self.subTest(attempts=attempts):
                streams = await streams_after_restart(attempts, limit_headers=(LIMIT,))
                self.assertEqual([stream.versions for stream in streams if stream.mixed], [])

    @in_virtual_time
    async def test_streams_at_rate_limit_go_on(self) -> None:
        """Guards against streams that runners with a rate limit never take up, since their start is unknown."""
        runners = versioned_engines(1, 3, 'v1', born_ms=BORN_MS, limit_headers=(LIMIT,))
        async with open_bench(stream_configuration(attempts=1), runners, fronts=2) as bench:
            await run_streams(bench, 3, ['front-1', 'front-2'])
            # Until then instances have no share of a limit.
            await trio.sleep(STARTUP_HOLD_S)
            break_streams(runners)
            streams = await run_streams(bench, STREAMS, ['front-1', 'front-2', 'front-2'])
        self.assertGreaterEqual(share_whole(streams), MIN_SHARE_GONE_ON)

    @in_virtual_time
    async def test_closing_runner_at_rate_limit(self) -> None:
        """Guards against streams whose permits are all used for checks, at runners that close after their report."""
        runners = versioned_engines(1, 2, 'v1', born_ms=BORN_MS, limit_headers=(LIMIT,), closes_after_report=True)
        async with open_bench(stream_configuration(), runners) as bench:
            await run_streams(bench, 1, ['front-1'])
            await trio.sleep(STARTUP_HOLD_S)
            streams = await run_streams(bench, STREAMS, ['front-1'])
        self.assertEqual([stream.answers[0].status for stream in streams if not stream.whole], [])

    @in_virtual_time
    async def test_start_not_reported(self) -> None:
        """Guards against streams that go on, or are taken up, where a report has no start or does not come."""
        for fault in ('hides_start', 'hides_report'):
            for attempts in (1, 2):
                with self.subTest(fault=fault, attempts=attempts):
                    streams = await streams_with_unknown_start(fault, attempts)
                    self.assertEqual([stream.versions for stream in streams if stream.mixed], [])
                    self.assertTrue(all(stream.events for stream in streams))

    @in_virtual_time
    async def test_sole_version_in_doubt(self) -> None:
        """Guards against a stream that began at a runner of unknown start and is taken up at the only known version.

        Its instance remembers no version of it. The others know one version of the service only.
        """
        runners = versioned_engines(1, 2, 'v1', born_ms=BORN_MS)
        async with open_bench(stream_configuration(attempts=1), runners, fronts=3) as bench:
            await trio.sleep(MIN_RETENTION_S + 1)
            bench.store.unavailable = True
            await trio.sleep(0.1)
            for runner in runners:
                runner.faults.hides_start = True
                restart(bench, runner, 'v2')
            break_streams(runners)
            spec = new_prompt_request('/tag/a', output=EVENTS)
            begun = await bench.new_caller('front-1').send(spec)
            self.assertTrue(marked_events(begun.body))
            bench.kill_front('front-1')
            for runner in runners:
                runner.faults = Faults()
                restart(bench, runner, 'v1')
                runner.born_ms = BORN_MS
            headers = ((wire_names.LAST_EVENT_ID, b'2'), (wire_names.RESUMES, spec.request_id.encode()))
            answer = await bench.new_caller('front-2').send(new_prompt_request('/tag/a', output=EVENTS, extra=headers))
        self.assertEqual((answer.status, marked_events(answer.body)), (STATUS_NOT_RUN, []))

    @in_virtual_time
    async def test_frozen_after_report(self) -> None:
        """Guards against a check that is believed after this process was frozen, on another connection.

        The runner closes its connection after the report, and is another one once the next connection is open.
        """
        runner = versioned_engines(1, 1, 'v1', born_ms=BORN_MS, closes_after_report=True)[0]
        async with open_bench(stream_configuration(), [runner]) as bench:
            member = bench.fronts['front-1'].fleet.members[runner.key]
            connect = member.connection
            opened = count(1)

            async def connect_late(purpose: SendPurpose) -> ClientConn:
                if next(opened) == 2:
                    await trio.sleep(FREEZE_S)
                    restart(bench, runner, 'v2')
                return await connect(purpose)

            with patch.object(member, 'connection', connect_late):
                await run_streams(bench, 1, ['front-1'])
            known = bench.fronts['front-1'].fleet.members[runner.key].runner
        self.assertEqual((known.born_ms, known.software_version), (runner.born_ms, None))

    @in_virtual_time
    async def test_faulty_variant_trusts_connections(self) -> None:
        """Without the check of new connections, streams hold events of two versions."""
        with patch.object(start_check, 'check_incarnation', _never_checked):
            streams = await streams_after_restart(attempts=1)
        self.assertTrue([stream for stream in streams if stream.mixed])

    @in_virtual_time
    async def test_runner_closes_after_its_report(self) -> None:
        """Guards against streams that never begin at runners that end the connection after their report."""
        runner = versioned_engines(1, 1, 'v1', born_ms=BORN_MS, closes_after_report=True)[0]
        async with open_bench(stream_configuration(), [runner]) as bench:
            streams = await run_streams(bench, 3, ['front-1'])
        self.assertTrue(all(stream.whole for stream in streams))
        self.assertTrue(runner.report_calls)

    @in_virtual_time
    async def test_connection_checked_once(self) -> None:
        """Guards against a question for each request on a kept connection, and against any where starts are unknown."""
        for born_ms, most in ((BORN_MS, 2), (0, 0)):
            runner = versioned_engines(1, 1, 'v1', born_ms=born_ms, framing=Framing.chunked)[0]
            async with open_bench(stream_configuration(), [runner]) as bench:
                for _ in range(5):
                    await run_streams(bench, 1, ['front-1'])
            self.assertLessEqual(runner.report_calls, most)


async def _never_checked(*_: object) -> FarEnd:
    return FarEnd.expected
