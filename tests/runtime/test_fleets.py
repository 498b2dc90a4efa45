"""What entries know of large fleets, together."""

from __future__ import annotations

from unittest import TestCase, mock

import trio

from sesamepoint_core.route.subset import SUBSET
from sesamepoint.entry.fleets import Fleets
from sesamepoint_standins.deployment_bench import DeploymentBench
from tests.builders import configuration
from tests.virtual import Calls, body, request, settle, virtual

LEASE_S = 20.0
SIZE = 20


class SubsetTest(TestCase):
    """No entry but the leader knows a large fleet whole."""

    @virtual
    async def test_runners_watched_after_a_restart(self) -> None:
        # The part that follows the configuration fails and is restarted. The
        # tasks that beat ended with it; left as they were, the views would
        # look alive for ever, and a lost runner would go on getting work.
        async with DeploymentBench.open(configuration(size=2), entries=1) as bed:
            await settle()
            fleets = bed.entries['entry-1'].entry.fleets
            with mock.patch.object(Fleets, '_adapt', side_effect=ValueError('broken')):
                fleets.lead('verdict-llm', leading=False)
                await trio.sleep(0.05)
            await settle()
            bed.agents['verdict-1'].scope.cancel()
            await settle()
            self.assertFalse(fleets.views['verdict-1'].alive)

    @virtual
    async def test_leader_knows_all_the_work(self) -> None:
        # Each entry beats with a few agents only, so no agent hears all of
        # them. The planner must still see all the work that was asked for,
        # or it would plan for a part of it.
        async with DeploymentBench.open(configuration(size=SIZE), entries=3) as bed:
            await settle(LEASE_S)
            leaders = [name for name, started in bed.entries.items() if len(started.entry.fleets.views) == SIZE]
            known = sorted(len(started.entry.fleets.views) for started in bed.entries.values())
            self.assertEqual(known, [SUBSET, SUBSET, SIZE])
            async with trio.open_nursery() as nursery:
                calls = Calls(bed, nursery)
                for number in range(90):
                    calls.send(request(body=body(number)), f'entry-{number % 3 + 1}')
                    await trio.sleep(0.25)
            leader = bed.entries[leaders[0]].entry
            reports = [view.report for view in leader.fleets.views.values() if view.report]
            heard = [report.offered.main_long.requests for report in reports]
            fleets = [started.entry.fleets for started in bed.entries.values()]
            counted = sum(found.offered('verdict-llm').main_long.requests for found in fleets)
            self.assertAlmostEqual(sum(heard) / len(heard), counted, delta=counted / 4)
