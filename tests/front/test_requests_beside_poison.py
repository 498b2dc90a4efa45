"""Healthy requests that run at an engine beside a poison request.

When a runner ends, all its requests break off, and the request that caused it can't be identified at once. Callers of
the others see their answer break off, perhaps twice if the retry lands beside the poison request again, and are then
answered. Only the poison request may be refused, and ends that no request caused must count against none.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint.front.quarantine.probes import Probes
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, engine, new_prompt_request, new_request, plain_runner
from tests.front.poison_requests import (
    ENDS_UNTIL_DETECTION,
    FRONTS,
    STATUS_OK,
    RESTART_WAIT_S,
    ask_until_answered,
    ask_concurrently,
    ask_mixed,
    ask_same_request,
    engines_ending_on_poison,
)
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import CallerAnswer

SEEDS = (1, 2)
# One round trip, with some margin.
ROUND_TRIP_S = 0.02
# Two answers of 0.4 s, one probe connection, and the queue at a single engine.
MAX_ANSWER_S = 1.5


class RequestsBesidePoisonTest(TestCase):
    """Healthy requests that were in progress at a runner when it ended."""

    @in_virtual_time
    async def test_healthy_requests_retried(self) -> None:
        """Guards against healthy requests that are refused because they ran beside a poison request.

        Four engines serve healthy requests while the poison request is sent repeatedly. Requests beside it lose their
        answers, some more than once. All are retried, and all are answered once engines are up.
        """
        for seed in SEEDS:
            async with open_bench(configuration(), engines_ending_on_poison(4), fronts=FRONTS) as bench:
                answers: list[CallerAnswer] = []
                async with trio.open_nursery() as nursery:
                    await ask_mixed(bench, Random(seed), answers, nursery)
                with self.subTest(seed=seed):
                    self.assertGreaterEqual(len(bench.crashes), ENDS_UNTIL_DETECTION)
                    self.assertEqual([seen for seen in answers if seen.status != STATUS_OK or not seen.complete], [])

    @in_virtual_time
    async def test_faulty_variant_probes_together(self) -> None:
        """Without exclusive probes, a healthy request at the same runner is taken for the poison request."""
        refused = [await _refused_with_shared_probes(seed) for seed in SEEDS]
        self.assertTrue(any(refused))

    @in_virtual_time
    async def test_popular_request_while_runners_end(self) -> None:
        """Guards against a popular request that is quarantined because three runners ended at once by their own fault.

        Simultaneous ends are no evidence. When the runners are back, one probe is answered, and all callers are served.
        """
        runners = [plain_runner(number) for number in range(1, 4)]
        async with open_bench(configuration(), runners, fronts=2) as bench:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_same_request, bench, [], nursery)
                await trio.sleep(0.25)
                for runner in runners:
                    bench.crash_runner(runner)
            await trio.sleep(RESTART_WAIT_S)
            seen = await ask_concurrently(bench, [*bench.fronts, *bench.fronts], new_request('/thumb/often'))
            self.assertEqual({one.status for one in seen}, {STATUS_OK})

    @in_virtual_time
    async def test_answers_lost_by_live_runners(self) -> None:
        """Guards against requests that become suspect when a runner resets connections but stays up."""
        runners = [plain_runner(number) for number in range(1, 4)]
        async with open_bench(configuration(), runners, fronts=2) as bench:
            for runner in runners:
                runner.faults.breaks_before_answer = True
            for _ in range(4):
                await bench.new_caller('front-1').send(new_request('/thumb/unlucky'))
            for runner in runners:
                runner.faults.breaks_before_answer = False
            seen = await bench.new_caller('front-1').send(new_request('/thumb/unlucky'))
            self.assertEqual(seen.status, STATUS_OK)
            self.assertAlmostEqual(seen.took_s, runners[0].work_s, delta=ROUND_TRIP_S)

    @in_virtual_time
    async def test_retry_while_connections_hang(self) -> None:
        """Guards against requests that wait in turn for a probe connection each.

        All connections of a runner break, and new ones are neither accepted nor refused, so whether it has ended is
        unknown. All its requests are retried after a single probe connection.
        """
        runners = [engine(number, 'decode') for number in (1, 2)]
        async with open_bench(configuration(), runners, fronts=1) as bench:
            answers: list[CallerAnswer] = []
            async with trio.open_nursery() as nursery:
                for number in range(24):
                    req = new_prompt_request('/tag/a', output=10)._replace(body=f'sound {number}'.encode())
                    nursery.start_soon(ask_until_answered, bench, ['front-1'], req, answers)
                await trio.sleep(0.15)
                front = bench.fronts['front-1'].cfg.host
                bench.network.cut_pairs.add(frozenset((front, runners[0].address.host)))
                bench.network.reset_all(runners[0].address.host)
            self.assertEqual({seen.status for seen in answers}, {STATUS_OK})
            self.assertLess(max(seen.took_s for seen in answers), MAX_ANSWER_S)

    @in_virtual_time
    async def test_draining_runners_end(self) -> None:
        """Guards against requests that become suspect when draining runners end with requests in progress.

        The caller's first attempt loses two engines, the second attempt a third; the fourth engine answers it.
        """
        runners = [engine(number, 'decode') for number in range(1, 5)]
        async with open_bench(configuration(), runners, fronts=1) as bench:
            req = new_prompt_request('/tag/a', output=60)._replace(body=b'long')
            answers: list[CallerAnswer] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_until_answered, bench, ['front-1', 'front-1'], req, answers)
                for _ in runners[:3]:
                    await trio.sleep(0.3)
                    busy = next(one for one in runners if one.running)
                    bench.drain_runner(busy.key)
                    await trio.sleep(0.5)
                    bench.crash_runner(busy)
            self.assertEqual((answers[0].status, answers[0].complete), (STATUS_OK, True))


async def _refused_with_shared_probes(seed: int) -> list[CallerAnswer]:
    answers: list[CallerAnswer] = []
    shared_probes = (
        patch.object(Probes, 'has_precedence', return_value=True),
        patch.object(Probes, 'runner_claimed', return_value=False),
    )
    with shared_probes[0], shared_probes[1]:
        async with (
            open_bench(configuration(), engines_ending_on_poison(4), fronts=FRONTS) as bench,
            trio.open_nursery() as nursery,
        ):
            await ask_mixed(bench, Random(seed), answers, nursery)
    return [seen for seen in answers if seen.status != STATUS_OK]
