"""Tests of idempotency keys across instances, restarts and outages."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_core.answer.outcome import Answered, NotRun, Unknown
from sesamepoint_standins.deployment_bench import DeploymentBench
from tests.builders import configuration
from tests.runtime.test_attempt import total_runs
from tests.virtual_time import (
    ConcurrentCalls,
    expected_text,
    in_virtual_time,
    replace_all_agents,
    request,
    send_request,
    settle,
    unique_body,
)

KEYED_REQUEST = request(body=unique_body(7), key='fitting-7', repeatable=False)


class KeysTest(TestCase):
    """A key that is sent more than once runs at most once."""

    @in_virtual_time
    async def test_repeated_key_at_another_instance(self) -> None:
        # A caller that got no confirmation sends its key again, and the load
        # balancer picks another instance. The caller must get the stored answer.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            first = await send_request(bed, KEYED_REQUEST, 'entry-1')
            second = await send_request(bed, KEYED_REQUEST, 'entry-2')
            self.assertEqual((first.text, second.text), (expected_text(KEYED_REQUEST),) * 2)
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_concurrent_requests_with_one_key(self) -> None:
        # Two instances get the key at the same time. One must run the request, and
        # the other must wait for that run and return the same answer.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                calls.send(KEYED_REQUEST, 'entry-1')
                calls.send(KEYED_REQUEST, 'entry-2')
            self.assertEqual({seen.text for _, seen in calls.records}, {expected_text(KEYED_REQUEST)})
            self.assertEqual(len(calls.records), 2)
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_caller_reconnects(self) -> None:
        # The caller's connection breaks during the run. The run must go on, and the
        # repeated key must return its answer.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = KEYED_REQUEST._replace(job=KEYED_REQUEST.job._replace(output_tokens=400))
            with trio.move_on_after(1):
                await send_request(bed, req, 'entry-1')
            self.assertEqual((await send_request(bed, req, 'entry-2')).text, expected_text(req))
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_instance_stopped_after_caller_left(self) -> None:
        # The caller disconnects and its instance is stopped gracefully during the
        # run. The stop must wait for the run, and the key, sent to another
        # instance, must return the whole answer.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            req = KEYED_REQUEST._replace(job=KEYED_REQUEST.job._replace(output_tokens=400))
            with trio.move_on_after(1):
                await send_request(bed, req, 'entry-1')
            await bed.entries['entry-1'].stop()
            self.assertEqual((await send_request(bed, req, 'entry-2')).text, expected_text(req))
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_key_owners_lost(self) -> None:
        # All agents are replaced, so the stored answers are lost. The claim is in
        # the log: the key must not run again. How the run ended is not recorded,
        # so the answer must be "unknown".
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            await send_request(bed, KEYED_REQUEST)
            replace_all_agents(bed)
            await settle()
            seen = await send_request(bed, KEYED_REQUEST, 'entry-2')
            self.assertIsInstance(seen.outcome, Unknown)
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_log_outage(self) -> None:
        # The log is unavailable, so the key cannot be claimed. The request must not
        # run, and the caller must get that answer within 5 s. When the log is
        # available again, the same key must run once.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            bed.log.faults.unavailable = True
            refused = await send_request(bed, KEYED_REQUEST)
            self.assertIsInstance(refused.outcome, NotRun)
            self.assertLess(refused.took_s, 5)
            bed.log.faults.unavailable = False
            await settle()
            seen = await send_request(bed, KEYED_REQUEST)
            self.assertIsInstance(seen.outcome, Answered)
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_claim_reply_lost(self) -> None:
        # The claim is appended but the reply is lost. Reading the log shows the
        # claim, so the request must run without a second one.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            bed.log.faults.replies_to_lose = 1
            self.assertEqual((await send_request(bed, KEYED_REQUEST)).text, expected_text(KEYED_REQUEST))
            self.assertEqual(total_runs(bed), 1)

    @in_virtual_time
    async def test_key_for_another_request(self) -> None:
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            await send_request(bed, KEYED_REQUEST)
            other = request(body=unique_body(8), key='fitting-7', repeatable=False)
            seen = await send_request(bed, other)
            assert isinstance(seen.outcome, NotRun)
            self.assertEqual(seen.outcome.code, 'key_reused')

    @in_virtual_time
    async def test_instances_disagree_on_key_owner(self) -> None:
        # Each instance is cut off from a different agent, so they ask two owners for
        # the same key at once. Both owners append a claim. The order of the log
        # lets one of them run, and the other caller must get "unknown".
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            bed.network_paths['entry-1', 'verdict-1'].cut = True
            bed.network_paths['entry-2', 'verdict-2'].cut = True
            await settle()
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                calls.send(KEYED_REQUEST, 'entry-1')
                calls.send(KEYED_REQUEST, 'entry-2')
            tags = sorted(seen.outcome.tag for _, seen in calls.records)
            self.assertEqual(tags, ['answered', 'unknown'])
            self.assertEqual(total_runs(bed), 1)
