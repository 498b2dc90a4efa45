"""A request that ends each engine that runs it, asked again at any instance.

Seen: four engines at a time ended within half a second, again and again over a minute, and for two to three
seconds after each time no request with a prompt was served. Under one request fifteen engines ended; five to eight of
these sends came when three engines had long ended under it.
How: an engine ends 0.1 s after it begins to run the request, with all that it runs beside it. The instance sends
the request once more, to a second engine. The caller comes back, to another instance, which knows nothing of it.
Cause: instances remembered which engines fail, but not under which request; a request's history ended with its answer.
Proof: single first sends to idle engines bring it about, so it takes neither load nor a second send; engines that only
read prompts, where it did not begin to run, stayed up all the time. With the ends not counted it is as it was.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.serving.suspects import Suspects
from sesamepoint.platform.names import QUARANTINE_TOPIC
from sesamepoint_standins.platform.bed import running_bed
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import asked_prompt, configuration, plain_runner
from tests.front.harmful import (
    ENDED_BY_THEN,
    ENGINES,
    FRONTS,
    PAUSE_S,
    SENT_LATER,
    all_end_on_it,
    ask_all,
    ask_sound,
    engines,
    harmful_fetch,
    harmful_prompt,
    sends_of_it,
    sent_later,
)
from tests.front.harmful_faults import play
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Seen

TIMES = 8
NOT_RUN = 503
# Refusals come at once: a round trip and some.
AT_ONCE_S = 0.02
# As long as an instance that hears nobody may take to look itself, and a call more.
LOOKED_S = 20.0
# Of the first seeds these send on when nothing is remembered.
SEEDS_AMONG_FAULTS = (3, 4)


async def until_refused(bed: PlatformBed) -> Seen:
    """Ask at one instance after the other until the request is refused for good."""
    for number in range(TIMES):
        seen = await bed.caller(f'front-{number % len(bed.fronts) + 1}').ask(harmful_prompt())
        if seen.status == NOT_RUN and seen.took_s < AT_ONCE_S:
            return seen
        await trio.sleep(PAUSE_S)
    raise AssertionError('never refused')


def lose_all_fronts(bed: PlatformBed) -> None:
    """Kill all instances at once."""
    for name in tuple(bed.fronts):
        bed.kill_front(name)
        bed.fronts.pop(name)


async def ask_new_front(bed: PlatformBed) -> Seen:
    """Start one more instance, and ask there as soon as it is ready."""
    bed.add_front(FRONTS + 1)
    await bed.until_ready()
    return await bed.caller(f'front-{FRONTS + 1}').ask(harmful_prompt())


class HarmfulRequestTest(TestCase):
    """What reaches engines of a request that ends them."""

    @virtual
    async def test_asked_again_at_each_instance(self) -> None:
        """A caller asks again and again, each time at the next instance.

        All instances know what befell the engines at the others: they send the
        request at most three times more.
        """
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            for number in range(TIMES):
                await bed.caller(f'front-{number % FRONTS + 1}').ask(harmful_prompt())
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(sent_later(bed), SENT_LATER)

    @virtual
    async def test_asked_at_the_same_moment(self) -> None:
        """The request comes to all instances at the same moment, and so again when the engines are back."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            for _ in range(TIMES // 2):
                await ask_all(bed, bed.fronts, harmful_prompt())
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(sent_later(bed), SENT_LATER)
            # Each instance sends it twice before it knows; then one tries it for all.
            self.assertEqual((len(bed.ended), len(sends_of_it(bed))), (ENDED_BY_THEN, 2 * FRONTS + 1))

    @virtual
    async def test_refused_at_once_when_known(self) -> None:
        """What can't be served is refused at once: it has not run, and there is no use in coming back soon.

        Three ends tell: two beside others, the third alone.
        """
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            refused = await until_refused(bed)
            self.assertGreater(refused.retry_after_s or 0, 3600)
            self.assertEqual(len(bed.ended), ENDED_BY_THEN)

    @virtual
    async def test_released_by_an_operator(self) -> None:
        """An operator drops the record: all instances take the request again, and its next send is a trial."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            await until_refused(bed)
            known = len(sends_of_it(bed))
            quarantined = bed.fronts['front-1'].peers._quarantine.suspects.all_quarantined()
            bed.store.put(QUARANTINE_TOPIC, quarantined[0], None)
            await trio.sleep(LOOKED_S)
            await ask_all(bed, bed.fronts, harmful_prompt())
            self.assertEqual(len(sends_of_it(bed)), known + 1)

    @virtual
    async def test_asked_at_an_instance_just_started(self) -> None:
        """An instance that started after the request was known for what it is refuses it like the others."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            await until_refused(bed)
            known = len(sends_of_it(bed))
            seen = await ask_new_front(bed)
            self.assertEqual((seen.status, len(sends_of_it(bed))), (NOT_RUN, known))

    @virtual
    async def test_asked_before_the_list_is_read(self) -> None:
        """An instance has its configuration and its runners, and the store is slow to tell what is not to be sent."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            await until_refused(bed)
            known = len(sends_of_it(bed))
            lose_all_fronts(bed)
            bed.store.slow_topics[QUARANTINE_TOPIC] = 0.2
            seen = await ask_new_front(bed)
            self.assertEqual((seen.status, len(sends_of_it(bed))), (NOT_RUN, known))

    @virtual
    async def test_asked_after_all_instances_were_lost(self) -> None:
        """All instances are lost at once; those that take their place find in the store what is not to be sent."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            await until_refused(bed)
            known = len(sends_of_it(bed))
            lose_all_fronts(bed)
            seen = await ask_new_front(bed)
            self.assertEqual((seen.status, len(sends_of_it(bed))), (NOT_RUN, known))

    @virtual
    async def test_asked_at_a_newcomer_while_suspect(self) -> None:
        """Two engines have ended; an instance that starts then is told so by the others, and tries it alone."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            await bed.caller('front-1').ask(harmful_prompt())
            bed.add_front(FRONTS + 1)
            await bed.until_ready()
            await trio.sleep(PAUSE_S)
            await bed.caller(f'front-{FRONTS + 1}').ask(harmful_prompt())
            self.assertEqual(len(bed.ended), ENDED_BY_THEN)
            seen = await bed.caller('front-2').ask(harmful_prompt())
            self.assertLess(seen.took_s, AT_ONCE_S)

    @virtual
    async def test_store_away(self) -> None:
        """The store is down all the while: the instances know it from each other."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            bed.store.down = True
            await until_refused(bed)
            await ask_all(bed, bed.fronts, harmful_prompt())
            self.assertLessEqual(sent_later(bed), SENT_LATER)

    @virtual
    async def test_words_lost(self) -> None:
        """No word gets from instance to instance: they know it from the store."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            bed.network.datagrams_lost = True
            for _ in range(3):
                await bed.caller('front-1').ask(harmful_prompt())
                await trio.sleep(PAUSE_S)
            await trio.sleep(LOOKED_S)
            known = len(sends_of_it(bed))
            await ask_all(bed, bed.fronts, harmful_prompt())
            self.assertEqual(len(sends_of_it(bed)), known)

    @virtual
    async def test_asked_at_an_instance_that_was_cut_off(self) -> None:
        """An instance does not hear the others while they find out, like one that was frozen; soon after it knows."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed:
            cut_off = bed.fronts[f'front-{FRONTS}'].cfg.host
            others = [front.cfg.host for front in bed.fronts.values() if front.cfg.host != cut_off]
            bed.network.cut.update(frozenset((cut_off, other)) for other in others)
            for number in range(3):
                await bed.caller(f'front-{number % 2 + 1}').ask(harmful_prompt())
                await trio.sleep(PAUSE_S)
            known = len(sends_of_it(bed))
            bed.network.cut.clear()
            for _ in range(30):
                await trio.sleep(0.1)
                await bed.caller('front-1').ask(asked_prompt('/tag/a')._replace(body=b'sound'))
            await bed.caller(f'front-{FRONTS}').ask(harmful_prompt())
            self.assertEqual(len(sends_of_it(bed)), known)

    @virtual
    async def test_callers_that_leave_before_the_end(self) -> None:
        """Its callers leave 0.03 s before each engine ends, so no connection of theirs is seen to break.

        Others have requests at those engines, here or at other instances, and tell of the end.
        """
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bed, trio.open_nursery() as nursery:
            nursery.start_soon(ask_sound, bed, Random(3), [], nursery)
            for number in range(TIMES):
                impatient = harmful_prompt()._replace(deadline_s=0.07)
                await bed.caller(f'front-{number % FRONTS + 1}').ask(impatient)
                await trio.sleep(0.5)
            self.assertLessEqual(len(bed.ended), ENDED_BY_THEN)
            nursery.cancel_scope.cancel()

    @virtual
    async def test_plain_runners(self) -> None:
        """The same with a plain service, whose requests may be repeated."""
        runners = all_end_on_it(plain_runner(number) for number in range(1, ENGINES + 1))
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            for _ in range(TIMES // 2):
                await ask_all(bed, bed.fronts, harmful_fetch())
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(sent_later(bed), SENT_LATER)


class AmongFaultsTest(TestCase):
    """A request that ends its runners, while runners come, go and fail and the store is away at times."""

    def test_promises_kept(self) -> None:
        for seed in SEEDS_AMONG_FAULTS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(play, seed, seed=seed), [])

    def test_twin_nothing_remembered(self) -> None:
        """Instances forget which runners ended under a request."""
        seed = SEEDS_AMONG_FAULTS[-1]
        with patch.object(Suspects, 'note_end', return_value=0):
            found = run_virtual(play, seed, seed=seed)
        self.assertTrue(any(line.startswith('harmful') for line in found))
