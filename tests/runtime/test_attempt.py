"""Requests under failure: whole answers, once, to their own callers."""

from __future__ import annotations

from unittest import TestCase, mock

import trio

from sesamepoint_core.answer.outcome import Answered, Failed, NotRun, Unknown
from sesamepoint.entry.request import CallerRequest
from sesamepoint_standins.deployment_bench import DeploymentBench
from sesamepoint_standins.memory_engine import MemoryEngine
from tests.builders import configuration
from tests.virtual import Calls, Seen, body, call, expected_text, replace_all_agents, request, settle, virtual


def runs(bed: DeploymentBench) -> int:
    """Return how many times any engine started a request."""
    return sum(sum(engine.run_counts.values()) for engine in bed.engines.values())


class AttemptTest(TestCase):
    """One request at a time, with one fault."""

    @virtual
    async def test_serve_without_fault(self) -> None:
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = request(body=body(1))
            seen = await call(bed, req)
            self.assertIsInstance(seen.outcome, Answered)
            self.assertEqual(seen.text, expected_text(req))
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_serve_silent_connection(self) -> None:
        # The caller gets its whole answer, a little late. In mid-answer the
        # network loses track of the connection; a new one works. The entry
        # resumes the same attempt, so the engine must have run it once.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = request(body=body(1), output_tokens=400, streamed=True, repeatable=False)
            async with trio.open_nursery() as nursery:
                calls = Calls(bed, nursery)
                calls.send(req)
                await trio.sleep(1)
                for wire in bed.network_paths.values():
                    wire.kill_open_connections()
            self.assertEqual(calls.seen[0][1].text, expected_text(req))
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_serve_agent_killed_repeatable(self) -> None:
        # The agent dies in mid-answer. Nothing went out yet, and the request
        # may run twice: it runs again elsewhere and the caller sees one answer.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = request(body=body(1), output_tokens=400)
            seen = await self._killed_in_mid_answer(bed, req)
            self.assertEqual(seen.text, expected_text(req))
            self.assertEqual(runs(bed), 2)

    @virtual
    async def test_serve_agent_killed_not_repeatable(self) -> None:
        # The same, for a paid verdict. Nobody can tell whether it ran, so it
        # must not run again, and the caller must not be told "not run".
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            seen = await self._killed_in_mid_answer(bed, request(body=body(1), output_tokens=400, repeatable=False))
            self.assertIsInstance(seen.outcome, Unknown)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_serve_agent_restarted(self) -> None:
        # The agent dies and its successor is up before the entry resumes.
        # The successor never saw the attempt, yet its predecessor ran it:
        # "never arrived" would be a lie and a second run.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = request(body=body(1), output_tokens=400, repeatable=False)
            async with trio.open_nursery() as nursery:
                calls = Calls(bed, nursery)
                calls.send(req)
                await trio.sleep(1)
                replace_all_agents(bed)
            self.assertIsInstance(calls.seen[0][1].outcome, Unknown)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_serve_agent_killed_and_no_other(self) -> None:
        # The only agent dies in mid-answer. The request may run again, but
        # there is nowhere to run it. It did run, so "not run" would be a
        # lie, though the second look for a runner found none and ran nothing.
        async with DeploymentBench.open(configuration(size=1)) as bed:
            await settle()
            seen = await self._killed_in_mid_answer(bed, request(body=body(1), output_tokens=400))
            self.assertIsInstance(seen.outcome, Unknown)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_serve_first_message_lost(self) -> None:
        # The connection is dead before the request is sent over it. The new
        # connection asks the agent, who proves that it never arrived; so it
        # is tried elsewhere, though it may run only once.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            for wire in bed.network_paths.values():
                wire.kill_open_connections()
            req = request(body=body(1), repeatable=False)
            seen = await call(bed, req)
            self.assertEqual(seen.text, expected_text(req))
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_serve_all_cut(self) -> None:
        # No agent can be reached at all. The caller is told at once that the
        # request did not run, and when to come back.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            for wire in bed.network_paths.values():
                wire.cut = True
            await settle()
            seen = await call(bed, request())
            assert isinstance(seen.outcome, NotRun)
            self.assertGreater(seen.outcome.retry_after_s, 0)
            self.assertEqual(seen.took_s, 0)

    @virtual
    async def test_serve_deadline_passes(self) -> None:
        # The engine slows down tenfold after the request was let in. At the
        # deadline the caller gets its final answer and the engine stops.
        async with DeploymentBench.open(configuration(size=1)) as bed:
            await settle()
            bed.engines['verdict-1'].slowdown = 10
            seen = await call(bed, request(output_tokens=250, timeout_s=8.0))
            assert isinstance(seen.outcome, Failed)
            self.assertEqual(seen.outcome.code, 'deadline_passed')
            await settle(1)
            self.assertEqual(bed.engines['verdict-1'].load().running, 0)

    @virtual
    async def test_serve_beside_unreadable_answer(self) -> None:
        # The engine's answer to one request cannot be read, which nobody
        # expected. It must end that attempt only: the answer that runs
        # beside it belongs to another caller, who sees nothing of it.
        async with DeploymentBench.open(configuration(size=1)) as bed:
            await settle()
            async with trio.open_nursery() as nursery:
                calls = Calls(bed, nursery)
                good = request(body=body(1), output_tokens=400)
                calls.send(good)
                await trio.sleep(1)
                with mock.patch.object(MemoryEngine, 'start', side_effect=ValueError('not a chunk')):
                    calls.send(request(body=body(2), repeatable=False))
                    await trio.sleep(1)
            seen = {req.job.body: found for req, found in calls.seen}
            self.assertIsInstance(seen[body(2)].outcome, Unknown)
            self.assertEqual(seen[body(1)].text, expected_text(good))

    @virtual
    async def test_serve_caller_gone(self) -> None:
        # The caller hangs up. What nobody waits for must not take the
        # engine's time from others.
        async with DeploymentBench.open(configuration(size=1)) as bed:
            await settle()
            with trio.move_on_after(1):
                await call(bed, request(output_tokens=2000))
            await settle(1)
            self.assertEqual(bed.engines['verdict-1'].load().running, 0)

    async def _killed_in_mid_answer(self, bed: DeploymentBench, req: CallerRequest) -> Seen:
        async with trio.open_nursery() as nursery:
            calls = Calls(bed, nursery)
            calls.send(req)
            await trio.sleep(1)
            busy = next(name for name, engine in bed.engines.items() if engine.run_counts)
            bed.agents[busy].scope.cancel()
        return calls.seen[0][1]
