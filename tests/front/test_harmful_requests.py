"""Poison requests, which end each engine that runs them and are retried at any instance.

An engine ends 0.1 s after it begins to run the request, together with all requests beside it. The instance retries it
at a second engine, and the caller retries it at another instance. Instances remembered which engines fail, but not
under which request, so fifteen engines ended under one request, five to eight of them well after the third end. Four
engines at a time ended within half a second, over and over for a minute, and after each time no prompt was served for
two to three seconds. It takes neither load nor a retry: single first sends to idle engines end them. Prefill engines,
where the request does not begin to run, stayed up. Without the count of ends the failure is back.
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
# One round trip, with some margin.
AT_ONCE_S = 0.02
# The longest that an instance without updates from peers takes to poll the store, and one more call.
LOOKED_S = 20.0
# Of the first seeds, those under which the request is still sent when no ends are remembered.
SEEDS_AMONG_FAULTS = (3, 4)


async def until_refused(bed: PlatformBed) -> Seen:
    """Send the poison request to one instance after the other until it is refused immediately."""
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
    """Start one more instance, and send it the poison request as soon as it is ready."""
    bed.add_front(FRONTS + 1)
    await bed.until_ready()
    return await bed.caller(f'front-{FRONTS + 1}').ask(harmful_prompt())


class HarmfulRequestTest(TestCase):
    """How often a poison request reaches runners."""

    @virtual
    async def test_asked_again_at_each_instance(self) -> None:
        """Guards against instances that don't know which engines ended under a request sent by a peer.

        A caller retries the request, each time at the next instance. After
        the third end it is sent at most three times more.
        """
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            for number in range(TIMES):
                await bench.caller(f'front-{number % FRONTS + 1}').ask(harmful_prompt())
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(sent_later(bench), SENT_LATER)

    @virtual
    async def test_asked_at_the_same_moment(self) -> None:
        """The request arrives at all instances at the same moment, and does so again when the engines are back."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            for _ in range(TIMES // 2):
                await ask_all(bench, bench.fronts, harmful_prompt())
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(sent_later(bench), SENT_LATER)
            # Each instance sends it twice before the ends are known; then one of them sends a probe for all.
            self.assertEqual((len(bench.ended), len(sends_of_it(bench))), (ENDED_BY_THEN, 2 * FRONTS + 1))

    @virtual
    async def test_refused_at_once_when_known(self) -> None:
        """Three ends quarantine a request: two beside other requests, the third as a probe.

        It is refused immediately, as not run, with a retry-after time of more than an hour.
        """
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            refusal = await until_refused(bench)
            self.assertGreater(refusal.retry_after_s or 0, 3600)
            self.assertEqual(len(bench.ended), ENDED_BY_THEN)

    @virtual
    async def test_released_by_an_operator(self) -> None:
        """An operator drops the record: all instances accept the request again, and its next send is a probe."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            await until_refused(bench)
            sends = len(sends_of_it(bench))
            quarantined = bench.fronts['front-1'].peers._quarantine.suspects.all_quarantined()
            bench.store.put(QUARANTINE_TOPIC, quarantined[0], None)
            await trio.sleep(LOOKED_S)
            await ask_all(bench, bench.fronts, harmful_prompt())
            self.assertEqual(len(sends_of_it(bench)), sends + 1)

    @virtual
    async def test_asked_at_an_instance_just_started(self) -> None:
        """Guards against a send by an instance that started after the request was quarantined."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            await until_refused(bench)
            sends = len(sends_of_it(bench))
            seen = await ask_new_front(bench)
            self.assertEqual((seen.status, len(sends_of_it(bench))), (NOT_RUN, sends))

    @virtual
    async def test_asked_before_the_list_is_read(self) -> None:
        """Guards against a send by a new instance that has its configuration and runners before the quarantine list."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            await until_refused(bench)
            sends = len(sends_of_it(bench))
            lose_all_fronts(bench)
            bench.store.slow_topics[QUARANTINE_TOPIC] = 0.2
            seen = await ask_new_front(bench)
            self.assertEqual((seen.status, len(sends_of_it(bench))), (NOT_RUN, sends))

    @virtual
    async def test_asked_after_all_instances_were_lost(self) -> None:
        """Guards against a quarantine that is lost with all instances; their replacements read it from the store."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            await until_refused(bench)
            sends = len(sends_of_it(bench))
            lose_all_fronts(bench)
            seen = await ask_new_front(bench)
            self.assertEqual((seen.status, len(sends_of_it(bench))), (NOT_RUN, sends))

    @virtual
    async def test_asked_at_a_newcomer_while_suspect(self) -> None:
        """Two engines have ended; an instance that starts then learns it from its peers and sends only a probe."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            await bench.caller('front-1').ask(harmful_prompt())
            bench.add_front(FRONTS + 1)
            await bench.until_ready()
            await trio.sleep(PAUSE_S)
            await bench.caller(f'front-{FRONTS + 1}').ask(harmful_prompt())
            self.assertEqual(len(bench.ended), ENDED_BY_THEN)
            seen = await bench.caller('front-2').ask(harmful_prompt())
            self.assertLess(seen.took_s, AT_ONCE_S)

    @virtual
    async def test_store_away(self) -> None:
        """The store is down all the time: the instances learn of the ends from each other."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            bench.store.down = True
            await until_refused(bench)
            await ask_all(bench, bench.fronts, harmful_prompt())
            self.assertLessEqual(sent_later(bench), SENT_LATER)

    @virtual
    async def test_words_lost(self) -> None:
        """All datagrams between instances are lost: they learn of the quarantine from the store."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            bench.network.datagrams_lost = True
            for _ in range(3):
                await bench.caller('front-1').ask(harmful_prompt())
                await trio.sleep(PAUSE_S)
            await trio.sleep(LOOKED_S)
            sends = len(sends_of_it(bench))
            await ask_all(bench, bench.fronts, harmful_prompt())
            self.assertEqual(len(sends_of_it(bench)), sends)

    @virtual
    async def test_asked_at_an_instance_that_was_cut_off(self) -> None:
        """An instance is cut off, as if frozen, while its peers find out; it learns of the quarantine soon after."""
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench:
            cut_off = bench.fronts[f'front-{FRONTS}'].cfg.host
            others = [front.cfg.host for front in bench.fronts.values() if front.cfg.host != cut_off]
            bench.network.cut.update(frozenset((cut_off, other)) for other in others)
            for number in range(3):
                await bench.caller(f'front-{number % 2 + 1}').ask(harmful_prompt())
                await trio.sleep(PAUSE_S)
            sends = len(sends_of_it(bench))
            bench.network.cut.clear()
            for _ in range(30):
                await trio.sleep(0.1)
                await bench.caller('front-1').ask(asked_prompt('/tag/a')._replace(body=b'sound'))
            await bench.caller(f'front-{FRONTS}').ask(harmful_prompt())
            self.assertEqual(len(sends_of_it(bench)), sends)

    @virtual
    async def test_callers_that_leave_before_the_end(self) -> None:
        """Guards against ends that are missed because the caller disconnects 0.03 s before the engine ends.

        No connection of that caller is seen to break. Other requests at the
        engine, from this or another instance, reveal its end.
        """
        async with running_bed(configuration(), engines(), fronts=FRONTS) as bench, trio.open_nursery() as nursery:
            nursery.start_soon(ask_sound, bench, Random(3), [], nursery)
            for number in range(TIMES):
                impatient = harmful_prompt()._replace(deadline_s=0.07)
                await bench.caller(f'front-{number % FRONTS + 1}').ask(impatient)
                await trio.sleep(0.5)
            self.assertLessEqual(len(bench.ended), ENDED_BY_THEN)
            nursery.cancel_scope.cancel()

    @virtual
    async def test_plain_runners(self) -> None:
        """The same for a plain service, whose requests may be retried."""
        runners = all_end_on_it(plain_runner(number) for number in range(1, ENGINES + 1))
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            for _ in range(TIMES // 2):
                await ask_all(bench, bench.fronts, harmful_fetch())
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(sent_later(bench), SENT_LATER)


class AmongFaultsTest(TestCase):
    """A poison request while runners start, stop and fail and the store is unavailable at times."""

    def test_promises_kept(self) -> None:
        """Guards against a poison request that is sent too often, whatever instances and runners go through."""
        for seed in SEEDS_AMONG_FAULTS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(play, seed, seed=seed), [])

    def test_twin_nothing_remembered(self) -> None:
        """Instances that forget which runners ended under a request exceed the bound."""
        seed = SEEDS_AMONG_FAULTS[-1]
        with patch.object(Suspects, 'note_end', return_value=0):
            violations = run_virtual(play, seed, seed=seed)
        self.assertTrue(any(text.startswith('harmful') for text in violations))
