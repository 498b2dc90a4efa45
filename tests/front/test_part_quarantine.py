"""A harmful part once it is known, and parts that were only beside an ended runner.

Runners end when they begin to write on a request with the part. Three ends name it, two of them under requests that
were sent alone; from then on its callers are refused at once by all instances.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint.front.quarantine.active_sends import ActiveSends
from sesamepoint.front.quarantine.part_suspects import PartSuspects
from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
from sesamepoint_core.crash_attribution.part_quarantine import TRIAL_DELAYS_S
from sesamepoint_core.crash_attribution.suspect_parts import SuspectParts
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import configuration, engine, new_prompt_request
from tests.front.crashing_parts import HARMFUL_PART, PartLoad, engines_ending_on
from tests.front.part_faults import run_seed
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec

FRONTS = 3
STATUS_OK = 200
STATUS_FAILED = 502
STATUS_NOT_RUN = 503
ENDS_UNTIL_NAMED = 3
# One round trip, with some margin.
IMMEDIATE_S = 0.02
# One answer of some 0.3 s at an engine without load.
ANSWER_S = 0.5
RESTART_S = 4.0
# Random faults; 8 once quarantined a first part that no request had been answered with yet.
FAULT_SEEDS = (3, 8)


def with_parts(*keys: str, path: str = '/tag/a', tokens: int = 50) -> RequestSpec:
    """Return a new request with these parts before its own."""
    req = new_prompt_request(path, 200, output=8)
    return req._replace(parts=(*((key, tokens) for key in keys), req.parts[-1]), body=req.request_id.encode())


def sends_with(bench: PlatformBench, key: str) -> int:
    """Return how many requests with a part reached a runner."""
    runs = (run for runner in bench.runners.values() for run in runner.runs)
    return sum(any(key.encode() in text for _, text in run.message.head.headers) for run in runs)


async def ask(bench: PlatformBench, front: int, req: RequestSpec) -> CallerAnswer:
    """Send a request to a front."""
    return await bench.new_caller(f'front-{front}').send(req)


async def ask_all(bench: PlatformBench, *keys: str) -> list[CallerAnswer]:
    """Send a new request with these parts to each front, one after the other."""
    return [await bench.new_caller(name).send(with_parts(*keys)) for name in tuple(bench.fronts)]


async def name_part(bench: PlatformBench, *keys: str) -> None:
    """Have the parts answered that are sound, and send harmful requests until they are refused."""
    sound = [key for key in keys if not key.startswith(HARMFUL_PART)]
    if sound:
        await ask_all(bench, *sound)
    for _ in range(ENDS_UNTIL_NAMED):
        await ask(bench, 1, with_parts(*keys))
    await trio.sleep(RESTART_S)


class KnownPartTest(TestCase):
    """Requests with a part in quarantine."""

    @in_virtual_time
    async def test_refused_by_all_instances(self) -> None:
        """Guards against a part that is contained at one instance, route, place or size, and sent on at another."""
        async with open_bench(configuration(), engines_ending_on((HARMFUL_PART,)), fronts=FRONTS) as bench:
            await name_part(bench, 'first', HARMFUL_PART)
            self.assertEqual(len(bench.crashes), ENDS_UNTIL_NAMED)
            sends = sends_with(bench, HARMFUL_PART)
            requests = (
                with_parts(HARMFUL_PART, 'first'),
                with_parts('first', HARMFUL_PART, 'another', path='/verdict/a'),
                with_parts('first', HARMFUL_PART, tokens=70),
            )
            for front in range(1, FRONTS + 1):
                for req in requests:
                    seen = await ask(bench, front, req)
                    self.assertEqual(seen.status, STATUS_NOT_RUN)
                    self.assertLess(seen.took_s, IMMEDIATE_S)
            self.assertEqual(sends_with(bench, HARMFUL_PART), sends)

    @in_virtual_time
    async def test_faulty_variant_tells_nobody(self) -> None:
        """Without messages to its peers, an instance alone knows the part."""
        with patch.object(PartSuspects, 'on_update'):
            async with open_bench(configuration(), engines_ending_on((HARMFUL_PART,)), fronts=FRONTS) as bench:
                await name_part(bench, 'first', HARMFUL_PART)
                seen = await ask(bench, 2, with_parts('first', HARMFUL_PART))
                self.assertNotEqual(seen.status, STATUS_NOT_RUN)

    @in_virtual_time
    async def test_sound_requests_served_meanwhile(self) -> None:
        """Guards against sound requests that wait or are refused since they share the other parts."""
        async with open_bench(configuration(), engines_ending_on((HARMFUL_PART,)), fronts=FRONTS) as bench:
            await name_part(bench, 'first', 'second', HARMFUL_PART)
            for seen in await ask_all(bench, 'first', 'second'):
                self.assertEqual((seen.status, seen.complete), (STATUS_OK, True))
                self.assertLess(seen.took_s, ANSWER_S)

    @in_virtual_time
    async def test_refused_by_instances_that_start(self) -> None:
        """Guards against a verdict that is lost with the instances: their replacements read it from the store."""
        async with open_bench(configuration(), engines_ending_on((HARMFUL_PART,)), fronts=FRONTS) as bench:
            await name_part(bench, 'first', HARMFUL_PART)
            sends = sends_with(bench, HARMFUL_PART)
            for name in tuple(bench.fronts):
                bench.kill_front(name)
                bench.fronts.pop(name)
            bench.add_front(FRONTS + 1)
            await bench.wait_until_ready()
            seen = await ask(bench, FRONTS + 1, with_parts('first', HARMFUL_PART))
            self.assertEqual((seen.status, sends_with(bench, HARMFUL_PART)), (STATUS_NOT_RUN, sends))

    @in_virtual_time
    async def test_withdrawn_from_runners(self) -> None:
        """Guards against requests that end their runners after the verdict since they were sent before it."""
        seen, ended_at = await _ask_while_engines_hang()
        self.assertEqual(seen.status, STATUS_FAILED)
        self.assertIsNotNone(ended_at)

    @in_virtual_time
    async def test_faulty_variant_does_not_withdraw(self) -> None:
        """Without the withdrawal, the request stays at its runner."""
        with patch.object(ActiveSends, 'withdraw'):
            _, ended_at = await _ask_while_engines_hang()
        self.assertIsNone(ended_at)

    @in_virtual_time
    async def test_one_trial_of_all_instances(self) -> None:
        """Guards against a trial by each instance: the users accept three more sends of all together."""
        async with open_bench(configuration(), engines_ending_on((HARMFUL_PART,)), fronts=FRONTS) as bench:
            await name_part(bench, 'first', HARMFUL_PART)
            sends = sends_with(bench, HARMFUL_PART)
            await trio.sleep(TRIAL_DELAYS_S[0])
            for _ in range(10):
                await ask_all(bench, 'first', HARMFUL_PART)
                await trio.sleep(1)
            self.assertEqual(sends_with(bench, HARMFUL_PART), sends + 1)

    @in_virtual_time
    async def test_wrong_verdict_found_by_trial(self) -> None:
        """Guards against a part that stays refused for hours after its runners can answer it."""
        async with open_bench(configuration(), engines_ending_on((HARMFUL_PART,)), fronts=FRONTS) as bench:
            await name_part(bench, 'first', HARMFUL_PART)
            for runner in bench.runners.values():
                runner.crash_parts = frozenset()
            await trio.sleep(TRIAL_DELAYS_S[0])
            await ask_all(bench, 'first', HARMFUL_PART)
            self.assertEqual({seen.status for seen in await ask_all(bench, 'first', HARMFUL_PART)}, {STATUS_OK})

    @in_virtual_time
    async def test_two_parts_at_once(self) -> None:
        """Guards against one harmful part that hides another."""
        names = ('harmful1', 'harmful2')
        async with open_bench(configuration(), engines_ending_on(names), fronts=5) as bench:
            load = PartLoad(bench, Random(1), names)
            await load.run(4.0, 20.0)
            verdicts = {
                verdict.key
                for front in bench.fronts.values()
                for verdict in front.peers._quarantine.suspects.part_quarantine.all_verdicts()
            }
            self.assertEqual(verdicts, set(names))
            self.assertEqual(load.figures().violations(), [])

    @in_virtual_time
    async def test_constant_neighbour(self) -> None:
        """Guards against a sound part that stays refused since all of its requests had the harmful one too."""
        async with open_bench(configuration(), engines_ending_on((HARMFUL_PART,)), fronts=FRONTS) as bench:
            await name_part(bench, 'first', HARMFUL_PART, f'{HARMFUL_PART}s-neighbour')
            neighbour = f'{HARMFUL_PART}s-neighbour'
            await ask_all(bench, 'first', neighbour)
            self.assertEqual({seen.status for seen in await ask_all(bench, 'first', neighbour)}, {STATUS_OK})
            self.assertEqual(len(bench.crashes), ENDS_UNTIL_NAMED)


class SoundPartTest(TestCase):
    """Parts of requests at runners that ended by themselves."""

    @in_virtual_time
    async def test_new_part_while_runners_end(self) -> None:
        """Guards against a verdict on a part that nobody has answered yet, whose first requests lost three runners."""
        engines = [engine(number, 'decode') for number in range(1, 5)]
        async with open_bench(configuration(), engines, fronts=FRONTS) as bench:
            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(ask, bench, number % FRONTS + 1, with_parts('first', 'new'))
                await trio.sleep(0.1)
                for runner in engines:
                    bench.crash_runner(runner)
            await trio.sleep(RESTART_S)
            self.assertEqual({seen.status for seen in await ask_all(bench, 'first', 'new')}, {STATUS_OK})

    @in_virtual_time
    async def test_part_that_peers_saw_answered(self) -> None:
        """Guards against requests that are sent one at a time for a part that only their own instance has not seen."""
        engines = [engine(number, 'decode') for number in range(1, 4)]
        async with open_bench(configuration(), engines, fronts=FRONTS) as bench:
            for _ in range(2):
                await ask(bench, 1, with_parts('first'))
            answers: list[CallerAnswer] = []

            async def ask_second() -> None:
                answers.append(await ask(bench, 2, with_parts('first')))

            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(ask_second)
                await trio.sleep(0.1)
                bench.crash_runner(next(each for each in engines if each.running))
            self.assertEqual({seen.status for seen in answers}, {STATUS_OK})
            # Its part of the first answer, a round trip to the peers and a whole answer.
            self.assertLess(max(seen.took_s for seen in answers), 0.1 + IMMEDIATE_S + ANSWER_S)


class RandomPartFaultsTest(TestCase):
    """A harmful part among random faults, and variants without one safeguard each."""

    def test_contained(self) -> None:
        """Guards against a part that is sent on, or a sound one that is refused, while runners end by themselves."""
        for seed in FAULT_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(run_seed, seed, seed=seed), [])

    def test_faulty_variants(self) -> None:
        """Instances that forget ends, or send suspects together, exceed the bound."""
        variants = (
            patch.object(SuspectParts, 'note_end'),
            patch.object(CrashSuspects, 'suspect_parts', return_value=()),
        )
        for number, variant in enumerate(variants):
            with self.subTest(variant=number), variant:
                self.assertNotEqual(run_virtual(run_seed, FAULT_SEEDS[0], seed=FAULT_SEEDS[0]), [])


async def _ask_while_engines_hang() -> tuple[CallerAnswer, float | None]:
    """Name a part while a request with it hangs at an engine; return its answer, and when its run had ended by then."""
    async with open_bench(configuration(), engines_ending_on((HARMFUL_PART,)), fronts=FRONTS) as bench:
        await ask_all(bench, 'first')
        answers: list[CallerAnswer] = []
        # Engines that keep the first part are chosen for the other requests.
        waiting = with_parts(HARMFUL_PART, path='/verdict/a')._replace(deadline_s=5.0)

        async def ask_second() -> None:
            answers.append(await ask(bench, 2, waiting))

        async with trio.open_nursery() as nursery:
            _set_hanging(bench, hangs=True)
            nursery.start_soon(ask_second)
            await trio.sleep(0.2)
            _set_hanging(bench, hangs=False)
            for _ in range(ENDS_UNTIL_NAMED):
                await ask(bench, 1, with_parts('first', HARMFUL_PART))
            await trio.sleep(0.1)
            runs = (run for runner in bench.runners.values() for run in runner.runs)
            ended_at = next(run.ended_at for run in runs if run.request_id == waiting.request_id)
        return answers[0], ended_at


def _set_hanging(bench: PlatformBench, *, hangs: bool) -> None:
    for runner in bench.runners.values():
        runner.faults.hangs = hangs
