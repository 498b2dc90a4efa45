"""Take-ups of streams at instances that have not begun them.

The instance that began a stream may be dead, cut off or just started, the version that began it may have gone or
may have been the only one by then, and callers name the stream by ids of their own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint.platform import wire_names
from sesamepoint_core.stream_origin.origin_memory import MIN_RETENTION_S
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.stream_caller import TakenStream, marked_events, stream_over_attempts
from tests.front.builders import configuration, new_prompt_request, route
from tests.front.streams.builders import break_streams, run_streams, stream_configuration, versioned_engines
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer
    from sesamepoint_standins.platform.runner import RunnerStandIn

STATUS_OK = 200
STATUS_NOT_RUN = 503
FRONTS = 5
EVENTS = 8
# The stream has begun by then, in seconds.
BEGUN_S = 0.15
# A refusal at once takes no longer than a question to all peers that are reached, in seconds.
AT_ONCE_S = 0.05
# A question ends in this time, whoever is cut off, in seconds.
ASKED_S = 0.3
# Records of the store are known everywhere after this time, in seconds.
SETTLE_S = 1.0


async def begin_and_break(bench: PlatformBench, front: str) -> tuple[str, set[str]]:
    """Have a stream begin at ``front`` and break; return its id and version."""
    break_streams(list(bench.runners.values()))
    spec = new_prompt_request('/tag/a', output=EVENTS)
    answer = await bench.new_caller(front).send(spec)
    break_streams(list(bench.runners.values()), None)
    return spec.request_id, {event.version for event in marked_events(answer.body)}


async def take_up(bench: PlatformBench, front: str, *resumes: str, last_event: str = '2') -> CallerAnswer:
    """Take a stream up at ``front`` after the event ``last_event``, with a header for each of ``resumes``."""
    headers = [(wire_names.RESUMES, text.encode()) for text in resumes]
    if last_event:
        headers.append((wire_names.LAST_EVENT_ID, last_event.encode()))
    return await bench.new_caller(front).send(new_prompt_request('/tag/a', output=EVENTS, extra=tuple(headers)))


def versions_of(answer: CallerAnswer) -> set[str]:
    """Return the versions of the runners that made the events of an answer."""
    return {event.version for event in marked_events(answer.body)}


def two_versions() -> list[RunnerStandIn]:
    """Return four engines of two versions."""
    return [*versioned_engines(1, 2, 'v1'), *versioned_engines(3, 2, 'v2')]


class InstanceLostTest(TestCase):
    """Streams whose instance is lost."""

    @in_virtual_time
    async def test_instance_killed_during_stream(self) -> None:
        """Guards against an origin that only the instance that began the stream knows."""
        async with open_bench(stream_configuration(attempts=1), two_versions(), fronts=FRONTS) as bench:
            streams: list[TakenStream] = []

            async def run_one(number: int) -> None:
                callers = [bench.new_caller('front-1'), bench.new_caller(f'front-{2 + number % 4}')]
                streams.append(await stream_over_attempts(new_prompt_request('/tag/a', output=EVENTS), callers))

            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(run_one, number)
                await trio.sleep(BEGUN_S)
                bench.network.reset_all('10.1.0.1')
                bench.kill_front('front-1')
        self.assertTrue(all(stream.taken_up for stream in streams))
        self.assertEqual([stream.events for stream in streams if stream.mixed or not stream.whole], [])

    @in_virtual_time
    async def test_new_instance(self) -> None:
        """Guards against an instance that has just started and can't learn the origin."""
        async with open_bench(stream_configuration(), two_versions(), fronts=FRONTS) as bench:
            first_attempt, versions = await begin_and_break(bench, 'front-1')
            bench.add_front(FRONTS + 1)
            await bench.wait_until_ready()
            await trio.sleep(SETTLE_S)
            answer = await take_up(bench, f'front-{FRONTS + 1}', first_attempt)
        self.assertEqual((answer.complete, versions_of(answer)), (True, versions))

    @in_virtual_time
    async def test_third_attempt_names_the_first(self) -> None:
        """Guards against an origin that is remembered for the latest attempt only."""
        runners = two_versions()
        break_streams(runners)
        async with open_bench(stream_configuration(attempts=1), runners, fronts=FRONTS) as bench:
            streams = await run_streams(bench, 20, ['front-1', 'front-2', 'front-3'], output=EVENTS)
        self.assertEqual([stream.events for stream in streams if stream.mixed or not stream.whole], [])


class VersionsTest(TestCase):
    """Versions that come and go between the attempts."""

    @in_virtual_time
    async def test_second_version_appears(self) -> None:
        """Guards against origins that are remembered only while several versions serve."""
        async with open_bench(stream_configuration(), versioned_engines(1, 2, 'v1'), fronts=FRONTS) as bench:
            first_attempt, _ = await begin_and_break(bench, 'front-1')
            for newer in versioned_engines(3, 6, 'v2'):
                bench.add_runner(newer)
            await trio.sleep(SETTLE_S)
            answers = [await take_up(bench, f'front-{number}', first_attempt) for number in (2, 3, 4, 5)]
        self.assertEqual([versions_of(answer) for answer in answers], [{'v1'} for _ in answers])

    @in_virtual_time
    async def test_version_gone(self) -> None:
        """Guards against a stream that goes on at another version, or waits, when its own has left."""
        old = versioned_engines(1, 2, 'v1')
        async with open_bench(stream_configuration(), old, fronts=FRONTS) as bench:
            first_attempt, _ = await begin_and_break(bench, 'front-1')
            for newer in versioned_engines(3, 2, 'v2'):
                bench.add_runner(newer)
            for older in old:
                bench.drain_runner(older.key)
            await trio.sleep(SETTLE_S)
            answer = await take_up(bench, 'front-2', first_attempt)
        self.assertEqual((answer.status, answer.retry_after_s), (STATUS_NOT_RUN, None))
        self.assertLess(answer.took_s, AT_ONCE_S)

    @in_virtual_time
    async def test_service_of_a_weighted_route(self) -> None:
        """Guards against a stream that goes on at another service of its route."""
        shares = [{'service': 'llm', 'weight': 1}, {'service': 'llm2', 'weight': 1}]
        tag = route('tag', '/tag/', '', 'streaming', resumable=True, gap_aim_ms=150, backends=shares)
        services = [*configuration()['services'], {**configuration()['services'][0], 'name': 'llm2'}]
        runners = [*versioned_engines(1, 2, 'v1'), *versioned_engines(3, 2, 'v2', service='llm2')]
        document = {**stream_configuration(), 'routes': [tag], 'services': services}
        async with open_bench(document, runners, fronts=FRONTS) as bench:
            for _ in range(6):
                first_attempt, versions = await begin_and_break(bench, 'front-1')
                answer = await take_up(bench, 'front-2', first_attempt)
                self.assertEqual(versions_of(answer), versions)

    @in_virtual_time
    async def test_route_moved_to_another_service(self) -> None:
        """Guards against a stream that goes on at the service to which its route has moved, or at that of before."""
        runners = [*versioned_engines(1, 2, 'v1'), *versioned_engines(3, 2, 'v1', service='llm2')]
        services = [*configuration()['services'], {**configuration()['services'][0], 'name': 'llm2'}]
        document = {**stream_configuration(), 'services': services}
        moved = {**document['routes'][0], 'service': 'llm2'}
        async with open_bench(document, runners, fronts=FRONTS) as bench:
            first_attempt, _ = await begin_and_break(bench, 'front-1')
            bench.publish({**document, 'version': 2, 'routes': [moved]})
            await trio.sleep(SETTLE_S)
            answers = [await take_up(bench, 'front-2', *resumes) for resumes in ((first_attempt,), ())]
        self.assertEqual([answer.status for answer in answers], [STATUS_NOT_RUN, STATUS_NOT_RUN])


class UnknownOriginTest(TestCase):
    """Streams of which nobody knows the origin."""

    @in_virtual_time
    async def test_unknown_ids_with_two_versions(self) -> None:
        """Guards against a guess: ids that are false, missing, empty, long or doubled name no stream."""
        async with open_bench(stream_configuration(), two_versions(), fronts=FRONTS) as bench:
            first_attempt, _ = await begin_and_break(bench, 'front-1')
            for resumes in (('false',), (), ('',), ('r' * 10_000,), (first_attempt, 'false')):
                answer = await take_up(bench, 'front-2', *resumes)
                self.assertEqual((answer.status, answer.retry_after_s), (STATUS_NOT_RUN, None), resumes[:1])
                self.assertLess(answer.took_s, AT_ONCE_S)

    @in_virtual_time
    async def test_same_id_named_twice(self) -> None:
        """Guards against a refusal of a caller, or a proxy, that sends the same header twice."""
        async with open_bench(stream_configuration(), two_versions(), fronts=FRONTS) as bench:
            first_attempt, versions = await begin_and_break(bench, 'front-1')
            answer = await take_up(bench, 'front-2', first_attempt, first_attempt)
        self.assertEqual(versions_of(answer), versions)

    @in_virtual_time
    async def test_no_event_in_hand(self) -> None:
        """Guards against a refusal of a caller that has no event: its stream begins anew."""
        async with open_bench(stream_configuration(), two_versions(), fronts=FRONTS) as bench:
            answer = await take_up(bench, 'front-2', 'false', last_event='')
        self.assertEqual((answer.status, len(marked_events(answer.body))), (STATUS_OK, EVENTS))

    @in_virtual_time
    async def test_peers_not_reached(self) -> None:
        """Guards against a guess, or a long wait, of an instance that is cut off from its peers."""
        async with open_bench(stream_configuration(), two_versions(), fronts=FRONTS) as bench:
            first_attempt, _ = await begin_and_break(bench, 'front-1')
            bench.network.drops_datagrams = True
            answers = [await take_up(bench, f'front-{number}', first_attempt) for number in (1, 2, 3, 4, 5)]
        refused = [answer for answer in answers if answer.status == STATUS_NOT_RUN]
        self.assertTrue(all(answer.retry_after_s and answer.took_s < ASKED_S for answer in refused))
        self.assertLess(len(refused), 2)

    @in_virtual_time
    async def test_only_one_version(self) -> None:
        """Guards against refusals of callers that name no attempt, where a service has one version only."""
        async with open_bench(stream_configuration(), versioned_engines(1, 2, 'v1'), fronts=FRONTS) as bench:
            await trio.sleep(MIN_RETENTION_S + SETTLE_S)
            answer = await take_up(bench, 'front-2')
            self.assertEqual((answer.status, versions_of(answer)), (STATUS_OK, {'v1'}))
            bench.network.drops_datagrams = True
            answer = await take_up(bench, 'front-3')
            self.assertEqual(answer.status, STATUS_NOT_RUN)

    @in_virtual_time
    async def test_version_came_and_went(self) -> None:
        """Guards against one version that is taken for the only one although another has just left."""
        async with open_bench(stream_configuration(), versioned_engines(1, 2, 'v1'), fronts=FRONTS) as bench:
            await trio.sleep(MIN_RETENTION_S + SETTLE_S)
            newer = versioned_engines(3, 1, 'v2')[0]
            bench.add_runner(newer)
            await trio.sleep(SETTLE_S)
            bench.drop_registration(newer.key)
            bench.network.close(newer.address)
            await trio.sleep(5 * SETTLE_S)
            answer = await take_up(bench, 'front-2')
        self.assertEqual(answer.status, STATUS_NOT_RUN)
