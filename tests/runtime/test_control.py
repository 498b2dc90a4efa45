"""Tests of configuration, leases, orders and planned stops under failure."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.answer.outcome import Answered
from sesamepoint_core.errors import HistoryLostError
from sesamepoint_core.fold.record_outcome import Accepted, Rejected
from sesamepoint_core.fold.records import ClaimLease, Order, SwitchPreset
from sesamepoint_core.fold.snapshot import decode_snapshot
from sesamepoint.single_error import single_error
from sesamepoint_standins.deployment_bench import DeploymentBench
from tests.builders import configuration, publish, runner
from tests.virtual_time import (
    ConcurrentCalls,
    expected_text,
    in_virtual_time,
    request,
    send_request,
    settle,
    unique_body,
)

if TYPE_CHECKING:
    from sesamepoint_core.fold.record_outcome import RecordOutcome
    from sesamepoint.control.follower import Follower

FLEET = 'verdict-llm'
LEASE_S = 20.0


async def give_order(follower: Follower, name: str, role: str) -> None:
    """Claim the lease of the fleet in place of its leader and order a role."""
    await follower.read_to_end()
    lease = follower.state.leases[FLEET]
    claim = await follower.submit(ClaimLease(FLEET, follower.writer, lease.renewed))
    assert isinstance(claim, Accepted)
    await follower.submit(Order(FLEET, name, role, claim.offset, follower.state.version, 'test'))


class OrderTest(TestCase):
    """Role changes of engines, which must not drop answers or lose orders."""

    @in_virtual_time
    async def test_order_during_answers(self) -> None:
        # A role change is ordered during an answer. The engine drops all its runs
        # when it changes, so the agent must first let them finish.
        async with DeploymentBench.open(configuration(size=1)) as bed, bed.operator_follower() as operator:
            await settle(LEASE_S)
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                req = request(body=unique_body(1), output_tokens=400)
                calls.send(req)
                await trio.sleep(1)
                await give_order(operator, 'verdict-1', 'prefill')
            self.assertEqual(calls.records[0][1].text, expected_text(req))
            await settle(LEASE_S)
            engine = bed.engines['verdict-1']
            self.assertEqual((engine.role, engine.cut_off, len(engine.orders)), ('prefill', 0, 1))

    @in_virtual_time
    async def test_order_half_switched(self) -> None:
        # The engine crashes during a role change and comes back with neither role.
        # The agent must detect that by querying it, keep it out of service, and
        # carry out the order again.
        async with DeploymentBench.open(configuration(size=2)) as bed, bed.operator_follower() as operator:
            await settle(LEASE_S)
            await give_order(operator, 'verdict-1', 'prefill')
            await trio.sleep(2)
            bed.engines['verdict-1'].crash()
            await trio.sleep(0.5)
            seen = await send_request(bed, request(body=unique_body(1)))
            self.assertIsInstance(seen.outcome, Answered)
            await settle(LEASE_S)
            self.assertEqual(bed.engines['verdict-1'].role, 'prefill')

    @in_virtual_time
    async def test_order_agent_killed_in_change(self) -> None:
        # The agent is killed between ordering the role and the engine's change. Its
        # successor must query the engine's role and not order it again.
        async with DeploymentBench.open(configuration(size=1)) as bed, bed.operator_follower() as operator:
            await settle(LEASE_S)
            await give_order(operator, 'verdict-1', 'prefill')
            await trio.sleep(2)
            bed.agents['verdict-1'].scope.cancel()
            bed.start_agent('verdict-1')
            await settle(LEASE_S)
            engine = bed.engines['verdict-1']
            self.assertEqual((engine.role, len(engine.orders)), ('prefill', 1))
            self.assertTrue(operator.state.orders['verdict-1'].done)

    @in_virtual_time
    async def test_order_waits_for_runs_of_killed_agent(self) -> None:
        # An agent is killed during an answer and the engine goes on. Its successor,
        # which does not know of the run, gets an order. It must wait until the
        # run ends, since the run may have side effects, such as a booking.
        async with DeploymentBench.open(configuration(size=1)) as bed, bed.operator_follower() as operator:
            await settle(LEASE_S)
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                calls.send(request(body=unique_body(1), output_tokens=1000, timeout_s=60.0, repeatable=False))
                await trio.sleep(1)
                bed.agents['verdict-1'].scope.cancel()
                bed.start_agent('verdict-1')
                await settle(1)
                await give_order(operator, 'verdict-1', 'prefill')
                await settle(2 * LEASE_S)
            engine = bed.engines['verdict-1']
            self.assertEqual((engine.role, engine.dropped_by_order), ('prefill', 0))

    @in_virtual_time
    async def test_order_of_deposed_leader(self) -> None:
        # The leader is paused while another process takes its lease and gives an
        # order. Resumed, it still takes itself for the leader and appends an
        # order, which must be void: the engine gets only the other one.
        async with DeploymentBench.open(configuration(size=1)) as bed, bed.operator_follower() as operator:
            await settle(LEASE_S)
            deposed = operator.state.leases[FLEET]
            await give_order(operator, 'verdict-1', 'prefill')
            version = operator.state.version
            outcome = await operator.submit(Order(FLEET, 'verdict-1', 'decode', deposed.fence, version, 'late'))
            assert isinstance(outcome, Rejected)
            await settle(LEASE_S)
            self.assertEqual([role for role, _ in bed.engines['verdict-1'].orders], ['prefill'])

    @in_virtual_time
    async def test_order_paused_agent_replaced(self) -> None:
        # An agent is paused between reading the log and ordering its engine, which
        # ignores fencing numbers. A successor claims the slot. Resumed, the old
        # agent must notice that it lost the slot and accept no more work.
        lax = {'verdict-1': runner(0, checks_fencing=False)}
        async with DeploymentBench.open(configuration(runners=lax)) as bed, bed.operator_follower() as operator:
            await settle(LEASE_S)
            old = bed.agents['verdict-1']
            old.faults.paused = True
            bed.start_agent('verdict-1')
            await settle()
            await give_order(operator, 'verdict-1', 'prefill')
            await settle(LEASE_S)
            old.faults.resume()
            await settle(LEASE_S)
            self.assertTrue(old.agent.draining)
            self.assertEqual([role for role, _ in bed.engines['verdict-1'].orders], ['prefill'])


class ConfigurationTest(TestCase):
    """Publications reach every process and are never lost."""

    @in_virtual_time
    async def test_drain_by_configuration(self) -> None:
        # A published configuration drains a runner. Its running answers must finish,
        # and a second later no new work may go there.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                for number in range(8):
                    calls.send(request(body=unique_body(number), output_tokens=200))
                await trio.sleep(0.5)
                drained = {**configuration()['runners'], 'verdict-1': runner(0, draining=True)}
                await bed.publish(configuration(runners=drained))
                await trio.sleep(1)
                before = len(bed.engines['verdict-1'].run_counts)
                for number in range(8, 16):
                    calls.send(request(body=unique_body(number)))
            self.assertEqual(len(bed.engines['verdict-1'].run_counts), before)
            self.assertTrue(all(seen.text == expected_text(req) for req, seen in calls.records))

    @in_virtual_time
    async def test_publish_reaches_instance_without_log(self) -> None:
        # One instance cannot reach the log. It must get the new version from the
        # agents, whose heartbeats it requests anyway.
        async with DeploymentBench.open(configuration()) as bed:
            await settle()
            bed.entries['entry-2'].faults.cut_from_log = True
            await settle()
            async with bed.operator_follower() as operator:
                await operator.submit(SwitchPreset(operator.state.version, 'asha', 'peak'))
            await settle(4)
            follower = bed.entries['entry-2'].entry.follower
            self.assertEqual(follower.active_configuration.preset_name, 'peak')

    @in_virtual_time
    async def test_publish_reply_lost(self) -> None:
        # The operator's append takes effect but its reply is lost. The operator's
        # client must find the record by reading the log, so that it counts once.
        async with DeploymentBench.open(configuration()) as bed, bed.operator_follower() as operator:
            bed.log.faults.replies_to_lose = 1
            outcome = await operator.submit(publish(operator.state.version))
            self.assertIsInstance(outcome, Accepted)
            self.assertEqual(operator.state.version, 2)

    @in_virtual_time
    async def test_first_of_two_appends_refused(self) -> None:
        # One process appends two records concurrently and the log refuses the first.
        # Appended again behind the second, the first would be taken for a
        # duplicate and dropped for good, such as a report that an order is done.
        async with DeploymentBench.open(configuration()) as bed, bed.operator_follower() as operator:
            await settle()
            outcomes: list[RecordOutcome] = []

            async def claim(name: str) -> None:
                outcomes.append(await operator.submit(ClaimLease(name, operator.writer, -1)))

            bed.log.faults.unavailable = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(claim, 'first')
                await trio.sleep(0.01)
                bed.log.faults.unavailable = False
                nursery.start_soon(claim, 'second')
            self.assertEqual([type(outcome) for outcome in outcomes], [Accepted, Accepted])

    @in_virtual_time
    async def test_join_from_snapshot(self) -> None:
        # All records that the newest snapshot covers were trimmed. A new process must
        # load the snapshot, fold the later records and reach the same version.
        async with DeploymentBench.open(configuration()) as bed, bed.operator_follower() as operator:
            await settle(LEASE_S)
            page = await bed.log.read('snapshots.boat-bazaar', 0, 0)
            covered = decode_snapshot(page.records[-1].payload).state.offset
            bed.log.trim('control.boat-bazaar', covered + 1)
            bed.start_entry('entry-3')
            await settle()
            joined = bed.entries['entry-3'].entry.follower
            self.assertEqual(joined.state.version, operator.state.version)

    @in_virtual_time
    async def test_join_without_snapshot(self) -> None:
        # Records were trimmed and no snapshot covers them. A new process must not
        # serve from a partial state: it ends with an error that names the remedy.
        async with DeploymentBench.open(configuration(), entries=0) as bed:
            await settle()
            bed.log.trim('control.boat-bazaar', 1)
            with self.assertRaisesRegex(HistoryLostError, 'no snapshot covers it'), single_error():
                async with bed.operator_follower():
                    await settle()

    @in_virtual_time
    async def test_serve_through_log_outage(self) -> None:
        # The log is unavailable for ten minutes. Requests must be answered under the
        # last configuration, and changes must work again afterwards.
        async with DeploymentBench.open(configuration()) as bed:
            await settle(LEASE_S)
            bed.log.faults.unavailable = True
            for number in range(10):
                seen = await send_request(bed, request(body=unique_body(number)))
                self.assertIsInstance(seen.outcome, Answered)
                await settle(60)
            bed.log.faults.unavailable = False
            await settle()
            await bed.publish(configuration())
            await settle(1)
            follower = bed.entries['entry-1'].entry.follower
            self.assertEqual(follower.state.version, 2)


class StopTest(TestCase):
    """Graceful stops of agents and instances."""

    @in_virtual_time
    async def test_rolling_restart_under_load(self) -> None:
        # All agents are stopped gracefully and replaced one by one under load, then
        # one instance is stopped. Every request must be answered.
        async with DeploymentBench.open(configuration(size=3)) as bed:
            await settle()
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                nursery.start_soon(self._load, calls)
                for name in tuple(bed.agents):
                    await bed.agents[name].stop()
                    bed.start_agent(name)
                    await settle(3)
                await bed.entries['entry-2'].stop()
            self.assertEqual({seen.outcome.tag for _, seen in calls.records}, {'answered'})
            self.assertEqual(sum(engine.cut_off for engine in bed.engines.values()), 0)

    async def _load(self, calls: ConcurrentCalls) -> None:
        for number in range(60):
            calls.send(request(body=unique_body(number), output_tokens=100, repeatable=False))
            await trio.sleep(0.25)
