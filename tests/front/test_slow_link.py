"""Slow links of 10 Mbit/s, which a large request body fills for tens of milliseconds."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint.http1.link_pacing import MAX_QUEUE_S, LinkPacer
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, engine, new_prompt_request
from tests.virtual_time import in_virtual_time

LINK_BYTES_S = 10e6 / 8
BODY = bytes(60_000)
TOKENS = 60_000


class AnnounceTest(TestCase):
    """Announcements of long prefills to peers."""

    @in_virtual_time
    async def test_announced_before_body(self) -> None:
        """Guards against announcements of the longest prompts that are lost behind their own bodies.

        Front 1 has a link of 10 Mbit/s. The announcement was sent after the
        body, which fills the link's queue, and was lost; front 2 took the
        engine for idle during its prefill, half a second.
        """
        async with open_bench(configuration(), [engine(1, 'prefill'), engine(2, 'decode')], fronts=2) as bench:
            await trio.sleep(3)
            bench.network.link_rates['10.1.0.1'] = LINK_BYTES_S
            member = bench.fronts['front-2'].fleet.members['i-llm1']
            async with trio.open_nursery() as nursery:
                req = new_prompt_request('/verdict/a', tokens=TOKENS, body=BODY)
                nursery.start_soon(bench.new_caller('front-1').send, req)
                await trio.sleep(0.1)
                self.assertGreater(member.load.wait_s(trio.current_time()), 0.2)


class PacerTest(TestCase):
    """Sends that are paced to the rate of a link."""

    @in_virtual_time
    async def test_queue_stays_short(self) -> None:
        """Guards against large sends that fill the queue of the link, and against sending too slowly."""
        pacer = LinkPacer(LINK_BYTES_S)
        started = trio.current_time()
        for _ in range(20):
            await pacer.wait_to_send(2920)
        took_s = trio.current_time() - started
        self.assertGreater(took_s, 20 * 2920 / LINK_BYTES_S - MAX_QUEUE_S)
        self.assertLess(took_s, 1.2 * 20 * 2920 / LINK_BYTES_S)

    @in_virtual_time
    async def test_small_sends_do_not_wait(self) -> None:
        """Guards against pacing that delays sends below the rate of the link."""
        pacer = LinkPacer(LINK_BYTES_S)
        started = trio.current_time()
        for _ in range(10):
            await pacer.wait_to_send(300)
            await trio.sleep(0.002)
        self.assertLess(trio.current_time() - started, 0.021)
