"""Idempotency keys across entries, deaths and outages."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_core.answer.outcome import Answered, NotRun, Unknown
from sesamepoint_standins.deployment_bench import DeploymentBench
from tests.builders import configuration
from tests.runtime.test_attempt import runs
from tests.virtual import Calls, body, call, expected_text, replace_all_agents, request, settle, virtual

BOOKING = request(body=body(7), key='fitting-7', repeatable=False)


class KeysTest(TestCase):
    """The same key, sent more than once."""

    @virtual
    async def test_same_key_again_at_another_entry(self) -> None:
        # The caller saw no confirmation and sends its key again; the
        # balancer picks another entry. It gets the kept answer, not a run.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            first = await call(bed, BOOKING, 'entry-1')
            second = await call(bed, BOOKING, 'entry-2')
            self.assertEqual((first.text, second.text), (expected_text(BOOKING),) * 2)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_same_key_at_once(self) -> None:
        # Two entries get the key in the same moment. One runs it; the other
        # waits for that run and hands out the same answer.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            async with trio.open_nursery() as nursery:
                calls = Calls(bed, nursery)
                calls.send(BOOKING, 'entry-1')
                calls.send(BOOKING, 'entry-2')
            self.assertEqual({seen.text for _, seen in calls.seen}, {expected_text(BOOKING)})
            self.assertEqual(len(calls.seen), 2)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_caller_gone_and_back(self) -> None:
        # The caller's connection breaks in mid-run. The run goes on, and
        # the key, sent again, brings its answer.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = BOOKING._replace(job=BOOKING.job._replace(output_tokens=400))
            with trio.move_on_after(1):
                await call(bed, req, 'entry-1')
            self.assertEqual((await call(bed, req, 'entry-2')).text, expected_text(req))
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_entry_stopped_after_caller_left(self) -> None:
        # The caller hangs up and its entry is stopped as planned, with the
        # run still under way. The stop waits for it, and the key, sent to
        # another entry, brings the whole answer.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = BOOKING._replace(job=BOOKING.job._replace(output_tokens=400))
            with trio.move_on_after(1):
                await call(bed, req, 'entry-1')
            await bed.entries['entry-1'].stop()
            self.assertEqual((await call(bed, req, 'entry-2')).text, expected_text(req))
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_homes_lost(self) -> None:
        # Every agent is replaced, and with them the kept answers. The claim
        # is on the log: the key must not run again, and since nobody knows
        # how the run ended, the truth is "unknown".
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            await call(bed, BOOKING)
            replace_all_agents(bed)
            await settle()
            seen = await call(bed, BOOKING, 'entry-2')
            self.assertIsInstance(seen.outcome, Unknown)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_log_outage(self) -> None:
        # The log is away: no claim can be made, so nothing runs, and the
        # caller learns it within seconds. When the log is back the same key
        # runs once.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            bed.log.faults.unavailable = True
            refused = await call(bed, BOOKING)
            self.assertIsInstance(refused.outcome, NotRun)
            self.assertLess(refused.took_s, 5)
            bed.log.faults.unavailable = False
            await settle()
            seen = await call(bed, BOOKING)
            self.assertIsInstance(seen.outcome, Answered)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_claim_reply_lost(self) -> None:
        # The append of the claim takes effect and its reply is lost. Reading
        # back shows the claim, and the request runs without a second one.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            bed.log.faults.replies_to_lose = 1
            self.assertEqual((await call(bed, BOOKING)).text, expected_text(BOOKING))
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_key_for_another_request(self) -> None:
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            await call(bed, BOOKING)
            other = request(body=body(8), key='fitting-7', repeatable=False)
            seen = await call(bed, other)
            assert isinstance(seen.outcome, NotRun)
            self.assertEqual(seen.outcome.code, 'key_reused')

    @virtual
    async def test_entries_disagree_about_the_home(self) -> None:
        # Each entry is cut off from another agent, so they ask two homes for
        # the same key at once. Both homes append a claim; the log's order
        # lets one run, and the other caller is told that it is not known.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            bed.network_paths['entry-1', 'verdict-1'].cut = True
            bed.network_paths['entry-2', 'verdict-2'].cut = True
            await settle()
            async with trio.open_nursery() as nursery:
                calls = Calls(bed, nursery)
                calls.send(BOOKING, 'entry-1')
                calls.send(BOOKING, 'entry-2')
            tags = sorted(seen.outcome.tag for _, seen in calls.seen)
            self.assertEqual(tags, ['answered', 'unknown'])
            self.assertEqual(runs(bed), 1)
