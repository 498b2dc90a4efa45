"""Tests of single requests under failure: whole answers, run at most once, to the right callers."""

from __future__ import annotations

from unittest import TestCase, mock

import trio

from sesamepoint_core.answer.outcome import Answered, Failed, NotRun, Unknown
from sesamepoint.entry.request import CallerRequest
from sesamepoint_standins.deployment_bench import DeploymentBench
from sesamepoint_standins.memory_engine import MemoryEngine
from tests.builders import configuration
from tests.virtual_time import (
    CallRecord,
    ConcurrentCalls,
    expected_text,
    in_virtual_time,
    replace_all_agents,
    request,
    send_request,
    settle,
    unique_body,
)


def total_runs(bed: DeploymentBench) -> int:
    """Return how many times any engine started a request."""
    return sum(sum(engine.run_counts.values()) for engine in bed.engines.values())


class AttemptTest(TestCase):
    """One request and one fault per test."""

    @in_virtual_time
    async def test_serve_without_fault(self) -> None:
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = request(body=unique_body(1))
            seen = await send_request(bed, req)
            self.assertIsInstance(seen.outcome, Answered)
            self.assertEqual(seen.text, expected_text(req))
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_connection_lost_in_answer(self) -> None:
        # The connection goes silent during an answer, and new ones work. The
        # instance must resume the same attempt: the caller gets the whole answer,
        # a little late, and the engine runs the request once.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = request(body=unique_body(1), output_tokens=400, streamed=True, repeatable=False)
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                calls.send(req)
                await trio.sleep(1)
                for wire in bed.network_paths.values():
                    wire.kill_open_connections()
            self.assertEqual(calls.records[0][1].text, expected_text(req))
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_serve_agent_killed_repeatable(self) -> None:
        # The agent is killed during an answer. Nothing was sent to the caller yet
        # and the request may run twice, so it runs on another runner and the
        # caller gets one answer.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = request(body=unique_body(1), output_tokens=400)
            seen = await self._kill_agent_in_answer(bed, req)
            self.assertEqual(seen.text, expected_text(req))
            self.assertEqual(total_runs(bed), 2)

    @in_virtual_time
    async def test_serve_agent_killed_not_repeatable(self) -> None:
        # The agent is killed during an answer to a request that must not run
        # twice. Whether it ran is unknown, so it must not run again, and the
        # answer must not be "not run".
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            seen = await self._kill_agent_in_answer(
                bed, request(body=unique_body(1), output_tokens=400, repeatable=False)
            )
            self.assertIsInstance(seen.outcome, Unknown)
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_serve_agent_restarted(self) -> None:
        # The agent is killed and its successor is up before the instance resumes.
        # The successor does not know the attempt, but its predecessor ran it.
        # The answer "never arrived" would be false and cause a second run.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = request(body=unique_body(1), output_tokens=400, repeatable=False)
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                calls.send(req)
                await trio.sleep(1)
                replace_all_agents(bed)
            self.assertIsInstance(calls.records[0][1].outcome, Unknown)
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_only_agent_killed(self) -> None:
        # The only agent is killed during an answer. The request may run again, but
        # there is no other runner. The second attempt found none and ran nothing,
        # but the first one ran, so the answer "not run" would be false.
        async with DeploymentBench.open(configuration(size=1)) as bed:
            await settle()
            seen = await self._kill_agent_in_answer(bed, request(body=unique_body(1), output_tokens=400))
            self.assertIsInstance(seen.outcome, Unknown)
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_serve_first_message_lost(self) -> None:
        # The connection is dead before the request is sent over it. Over a new
        # connection the agent proves that the request never arrived, so it is
        # sent to another runner although it may run only once.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            for wire in bed.network_paths.values():
                wire.kill_open_connections()
            req = request(body=unique_body(1), repeatable=False)
            seen = await send_request(bed, req)
            self.assertEqual(seen.text, expected_text(req))
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_no_agent_reachable(self) -> None:
        # No agent can be reached. The caller immediately gets "not run" and the
        # time after which to retry.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            for wire in bed.network_paths.values():
                wire.cut = True
            await settle()
            seen = await send_request(bed, request())
            assert isinstance(seen.outcome, NotRun)
            self.assertGreater(seen.outcome.retry_after_s, 0)
            self.assertEqual(seen.took_s, 0)

    @in_virtual_time
    async def test_serve_deadline_passes(self) -> None:
        # The engine slows down tenfold, so the answer misses its deadline. The
        # caller gets its final answer at the deadline, and the run is cancelled.
        async with DeploymentBench.open(configuration(size=1)) as bed:
            await settle()
            bed.engines['verdict-1'].slowdown = 10
            seen = await send_request(bed, request(output_tokens=250, timeout_s=8.0))
            assert isinstance(seen.outcome, Failed)
            self.assertEqual(seen.outcome.code, 'deadline_passed')
            await settle(1)
            self.assertEqual(bed.engines['verdict-1'].load().running, 0)

    @in_virtual_time
    async def test_serve_beside_unreadable_answer(self) -> None:
        # Reading the engine's answer to one request raises an unexpected error. It
        # must end that attempt only; the concurrent answer to another caller
        # must arrive whole.
        async with DeploymentBench.open(configuration(size=1)) as bed:
            await settle()
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                good = request(body=unique_body(1), output_tokens=400)
                calls.send(good)
                await trio.sleep(1)
                with mock.patch.object(MemoryEngine, 'start', side_effect=ValueError('not a chunk')):
                    calls.send(request(body=unique_body(2), repeatable=False))
                    await trio.sleep(1)
            seen = {req.job.body: record for req, record in calls.records}
            self.assertIsInstance(seen[unique_body(2)].outcome, Unknown)
            self.assertEqual(seen[unique_body(1)].text, expected_text(good))

    @in_virtual_time
    async def test_caller_disconnects(self) -> None:
        # The caller disconnects. Its run must be cancelled, or it would take
        # engine time from other requests.
        async with DeploymentBench.open(configuration(size=1)) as bed:
            await settle()
            with trio.move_on_after(1):
                await send_request(bed, request(output_tokens=2000))
            await settle(1)
            self.assertEqual(bed.engines['verdict-1'].load().running, 0)

    async def _kill_agent_in_answer(self, bed: DeploymentBench, req: CallerRequest) -> CallRecord:
        async with trio.open_nursery() as nursery:
            calls = ConcurrentCalls(bed, nursery)
            calls.send(req)
            await trio.sleep(1)
            busy = next(name for name, engine in bed.engines.items() if engine.run_counts)
            bed.agents[busy].scope.cancel()
        return calls.records[0][1]
