"""Tests of idempotency keys across instances, restarts and outages."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_core.answer.outcome import Answered, NotRun, Unknown
from sesamepoint_standins.bed import Bed
from tests.builders import configuration
from tests.runtime.test_attempt import runs
from tests.virtual import Calls, body, call, expected_text, replace_all_agents, request, settle, virtual

BOOKING = request(body=body(7), key='fitting-7', repeatable=False)


class KeysTest(TestCase):
    """A key that is sent more than once runs at most once."""

    @virtual
    async def test_same_key_again_at_another_entry(self) -> None:
        # A caller that got no confirmation sends its key again, and the load
        # balancer picks another instance. The caller must get the stored answer.
        async with Bed.open(configuration()) as bed:
            await settle()
            first = await call(bed, BOOKING, 'entry-1')
            second = await call(bed, BOOKING, 'entry-2')
            self.assertEqual((first.text, second.text), (expected_text(BOOKING),) * 2)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_same_key_at_once(self) -> None:
        # Two instances get the key at the same time. One must run the request, and
        # the other must wait for that run and return the same answer.
        async with Bed.open(configuration()) as bed:
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
        # The caller's connection breaks during the run. The run must go on, and the
        # repeated key must return its answer.
        async with Bed.open(configuration()) as bed:
            await settle()
            req = BOOKING._replace(job=BOOKING.job._replace(output_tokens=400))
            with trio.move_on_after(1):
                await call(bed, req, 'entry-1')
            self.assertEqual((await call(bed, req, 'entry-2')).text, expected_text(req))
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_entry_stopped_after_caller_left(self) -> None:
        # The caller disconnects and its instance is stopped gracefully during the
        # run. The stop must wait for the run, and the key, sent to another
        # instance, must return the whole answer.
        async with Bed.open(configuration()) as bed:
            await settle()
            req = BOOKING._replace(job=BOOKING.job._replace(output_tokens=400))
            with trio.move_on_after(1):
                await call(bed, req, 'entry-1')
            await bed.entries['entry-1'].stop()
            self.assertEqual((await call(bed, req, 'entry-2')).text, expected_text(req))
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_homes_lost(self) -> None:
        # All agents are replaced, so the stored answers are lost. The claim is in
        # the log: the key must not run again. How the run ended is not recorded,
        # so the answer must be "unknown".
        async with Bed.open(configuration()) as bed:
            await settle()
            await call(bed, BOOKING)
            replace_all_agents(bed)
            await settle()
            seen = await call(bed, BOOKING, 'entry-2')
            self.assertIsInstance(seen.outcome, Unknown)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_log_outage(self) -> None:
        # The log is unavailable, so the key cannot be claimed. The request must not
        # run, and the caller must get that answer within 5 s. When the log is
        # available again, the same key must run once.
        async with Bed.open(configuration()) as bed:
            await settle()
            bed.log.faults.away = True
            refused = await call(bed, BOOKING)
            self.assertIsInstance(refused.outcome, NotRun)
            self.assertLess(refused.took_s, 5)
            bed.log.faults.away = False
            await settle()
            seen = await call(bed, BOOKING)
            self.assertIsInstance(seen.outcome, Answered)
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_claim_reply_lost(self) -> None:
        # The claim is appended but the reply is lost. Reading the log shows the
        # claim, so the request must run without a second one.
        async with Bed.open(configuration()) as bed:
            await settle()
            bed.log.faults.lose_replies = 1
            self.assertEqual((await call(bed, BOOKING)).text, expected_text(BOOKING))
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_key_for_another_request(self) -> None:
        async with Bed.open(configuration()) as bed:
            await settle()
            await call(bed, BOOKING)
            other = request(body=body(8), key='fitting-7', repeatable=False)
            seen = await call(bed, other)
            assert isinstance(seen.outcome, NotRun)
            self.assertEqual(seen.outcome.code, 'key_reused')

    @virtual
    async def test_entries_disagree_about_the_home(self) -> None:
        # Each instance is cut off from a different agent, so they ask two owners for
        # the same key at once. Both owners append a claim. The order of the log
        # lets one of them run, and the other caller must get "unknown".
        async with Bed.open(configuration()) as bed:
            await settle()
            bed.wires['entry-1', 'verdict-1'].cut = True
            bed.wires['entry-2', 'verdict-2'].cut = True
            await settle()
            async with trio.open_nursery() as nursery:
                calls = Calls(bed, nursery)
                calls.send(BOOKING, 'entry-1')
                calls.send(BOOKING, 'entry-2')
            tags = sorted(seen.outcome.tag for _, seen in calls.seen)
            self.assertEqual(tags, ['answered', 'unknown'])
            self.assertEqual(runs(bed), 1)
