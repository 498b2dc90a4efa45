"""Tests of the subsets of large fleets that instances know."""

from __future__ import annotations

from unittest import TestCase, mock

import trio

from sesamepoint_core.route.subset import SUBSET_SIZE
from sesamepoint.entry.fleets import Fleets
from sesamepoint_standins.deployment_bench import DeploymentBench
from tests.builders import configuration
from tests.virtual_time import ConcurrentCalls, in_virtual_time, request, settle, unique_body

LEASE_S = 20.0
SIZE = 20


class SubsetTest(TestCase):
    """Only the leader knows all runners of a large fleet."""

    @in_virtual_time
    async def test_heartbeats_after_task_restart(self) -> None:
        # The task that follows the configuration fails and is restarted, which ends
        # the heartbeat tasks too. If the views were kept, they would look alive
        # for ever and a failed runner would go on getting work.
        async with DeploymentBench.open(configuration(size=2), entries=1) as bed:
            await settle()
            fleets = bed.entries['entry-1'].entry.fleets
            with mock.patch.object(Fleets, '_adapt', side_effect=ValueError('broken')):
                fleets.set_leading('verdict-llm', leading=False)
                await trio.sleep(0.05)
            await settle()
            bed.agents['verdict-1'].scope.cancel()
            await settle()
            self.assertFalse(fleets.views['verdict-1'].alive)

    @in_virtual_time
    async def test_leader_sees_total_demand(self) -> None:
        # Each instance exchanges heartbeats with a few agents only, so no agent
        # knows all instances. The planner must still see the total demand, or it
        # would plan for a part of it.
        async with DeploymentBench.open(configuration(size=SIZE), entries=3) as bed:
            await settle(LEASE_S)
            leaders = [name for name, started in bed.entries.items() if len(started.entry.fleets.views) == SIZE]
            known = sorted(len(started.entry.fleets.views) for started in bed.entries.values())
            self.assertEqual(known, [SUBSET_SIZE, SUBSET_SIZE, SIZE])
            async with trio.open_nursery() as nursery:
                calls = ConcurrentCalls(bed, nursery)
                for number in range(90):
                    calls.send(request(body=unique_body(number)), f'entry-{number % 3 + 1}')
                    await trio.sleep(0.25)
            leader = bed.entries[leaders[0]].entry
            reports = [view.report for view in leader.fleets.views.values() if view.report]
            reported = [report.offered_demand.main_long.requests for report in reports]
            fleets = [started.entry.fleets for started in bed.entries.values()]
            counted = sum(own_fleets.offered_demand('verdict-llm').main_long.requests for own_fleets in fleets)
            self.assertAlmostEqual(sum(reported) / len(reported), counted, delta=counted / 4)
