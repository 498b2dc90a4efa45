"""New connections that arrive in excess at one instance that lags: closed unread, so that another one serves them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint.front.instance_room.lag_admission import LagAdmission
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, new_request, plain_runner
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer

STATUS_OK = 200
USUAL_S = 5.0
LAG_S = 0.5


async def ask_at_rate(bench: PlatformBench, per_s: int, for_s: float) -> list[CallerAnswer]:
    """Send requests to one front at a rate, each on a new connection."""
    answers: list[CallerAnswer] = []

    async def ask() -> None:
        answers.append(await bench.new_caller('front-1').send(new_request('/thumb/a')))

    async with trio.open_nursery() as nursery:
        for _ in range(int(per_s * for_s)):
            nursery.start_soon(ask)
            await trio.sleep(1 / per_s)
    return answers


def runs(bench: PlatformBench) -> int:
    """Return how many requests reached a runner."""
    return sum(len(runner.runs) for runner in bench.runners.values())


class ShedConnectionsTest(TestCase):
    """Connections at an instance that lags; the lag is set, as virtual time has none."""

    @in_virtual_time
    async def test_closed_unread(self) -> None:
        """Guards against requests that are read by an instance which can't serve them, while its peers could."""
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)], fronts=3) as bench:
            kept = bench.new_caller('front-1')
            await kept.send(new_request('/thumb/a'))
            await ask_at_rate(bench, 4, USUAL_S)
            with patch.object(LagAdmission, 'loop_lag_s', return_value=LAG_S):
                answers = await ask_at_rate(bench, 40, 2)
                shed = [seen for seen in answers if not seen.status]
                self.assertGreater(len(shed), len(answers) / 2)
                before = runs(bench)
                self.assertEqual((await bench.new_caller('front-1').send(new_request('/card/a'))).status, 0)
                self.assertEqual(runs(bench), before)
                # Connections that were open before are served.
                self.assertEqual((await kept.send(new_request('/thumb/a'))).status, STATUS_OK)
            self.assertEqual(bench.fronts['front-1'].room.lag.shed, len(shed) + 1)

    @in_virtual_time
    async def test_served_without_lag(self) -> None:
        """Guards against connections that are closed although this instance can serve them."""
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)], fronts=3) as bench:
            await ask_at_rate(bench, 4, USUAL_S)
            answers = await ask_at_rate(bench, 40, 2)
            self.assertEqual({seen.status for seen in answers}, {STATUS_OK})

    @in_virtual_time
    async def test_served_without_peers(self) -> None:
        """Guards against connections that are closed although no other instance could take them."""
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)], fronts=1) as bench:
            await ask_at_rate(bench, 4, USUAL_S)
            with patch.object(LagAdmission, 'loop_lag_s', return_value=LAG_S):
                answers = await ask_at_rate(bench, 40, 2)
            self.assertEqual({seen.status for seen in answers}, {STATUS_OK})
