"""Links of 10 Mbit/s, which a large body fills for tens of milliseconds."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint.http1.pacing import QUEUE_S, LinkPacer
from sesamepoint_standins.platform.bed import running_bed
from tests.front.builders import asked_prompt, configuration, engine
from tests.virtual import virtual

LINK_BYTES_S = 10e6 / 8
BODY = bytes(60_000)
TOKENS = 60_000


class AnnounceTest(TestCase):
    """Word of long work before the work itself."""

    @virtual
    async def test_word_before_body(self) -> None:
        """The longest prompts have the largest bodies; their word must not come behind them.

        Front 1 has a link of 10 Mbit/s. Sent after the body, which fills
        the link's queue, the word was lost, and front 2 took the engine for idle
        for as long as it read, half a second.
        """
        async with running_bed(configuration(), [engine(1, 'prefill'), engine(2, 'decode')], fronts=2) as bench:
            await trio.sleep(3)
            bench.network.links['10.1.0.1'] = LINK_BYTES_S
            member = bench.fronts['front-2'].fleet.members['i-llm1']
            async with trio.open_nursery() as nursery:
                req = asked_prompt('/verdict/a', tokens=TOKENS, body=BODY)
                nursery.start_soon(bench.caller('front-1').ask, req)
                await trio.sleep(0.1)
                self.assertGreater(member.load.wait_s(trio.current_time()), 0.2)


class PacerTest(TestCase):
    """What is sent over a link, spread over its rate."""

    @virtual
    async def test_queue_stays_short(self) -> None:
        pacer = LinkPacer(LINK_BYTES_S)
        started = trio.current_time()
        for _ in range(20):
            await pacer.take(2920)
        took_s = trio.current_time() - started
        self.assertGreater(took_s, 20 * 2920 / LINK_BYTES_S - QUEUE_S)
        self.assertLess(took_s, 1.2 * 20 * 2920 / LINK_BYTES_S)

    @virtual
    async def test_small_sends_do_not_wait(self) -> None:
        pacer = LinkPacer(LINK_BYTES_S)
        started = trio.current_time()
        for _ in range(10):
            await pacer.take(300)
            await trio.sleep(0.002)
        self.assertLess(trio.current_time() - started, 0.021)
