"""Answers that end inside their head must not look complete."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnBrokenError, RequestHead
from sesamepoint.single_error import single_error
from sesamepoint_standins.platform.network import MemoryNetwork
from sesamepoint_core.serving.address import Address
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import new_prompt_request
from tests.front.cut_heads import CUTS, SPECS, Cut, CutRunner, sweep_engines, sweep_plain, sweep_resumed
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable

ADDRESS = Address('10.3.0.1', 80)
LONG_PROMPT = 12_000
# A call of an instance to anything but a runner: the store, peers, health pages, reports, usage.
CALL = RequestHead(b'GET', b'/', ((b'host', b'x'), (b'sesamepoint-request-id', b'r1')))


class CutHeadsTest(TestCase):
    """Runners that stop at each byte of the head, and close or reset."""

    def test_plain_answers(self) -> None:
        """Guards against a success with a short body, framed as whole, by a runner that stops inside its head."""
        for name, cut in CUTS.items():
            with self.subTest(cut=name):
                self.assertEqual(run_virtual(sweep_plain, cut, SPECS['idempotent'], seed=1), [])

    def test_callers(self) -> None:
        """Guards against the same for callers of other kinds, and non-idempotent requests."""
        for name, new_spec in SPECS.items():
            with self.subTest(caller=name):
                self.assertEqual(run_virtual(sweep_plain, CUTS['until close'], new_spec, seed=1), [])

    def test_kept_connection(self) -> None:
        """Guards against an answer that ends with the head of the next one on a connection that is used again."""
        sweep = partial(sweep_plain, CUTS['until close'], SPECS['idempotent'], kept=True)
        self.assertEqual(run_virtual(sweep, seed=1), [])

    def test_prefill_and_decode(self) -> None:
        """Guards against prefills and streams that end inside their heads and pass for whole."""
        for stage in ('prefill', 'decode'):
            with self.subTest(stage=stage):
                new_spec = partial(new_prompt_request, '/verdict/a', LONG_PROMPT, output=4)
                self.assertEqual(run_virtual(sweep_engines, CUTS['until close'], stage, new_spec, seed=1), [])

    def test_resumed_stream(self) -> None:
        """Guards against a stream that ends as complete where the runner it goes on at stops inside its head."""
        self.assertEqual(run_virtual(sweep_resumed, CUTS['until close'], seed=1), [])

    @in_virtual_time
    async def test_other_calls(self) -> None:
        """Guards against half a head of the store, a peer, or any other page, that passes for an answer."""
        # A call accepts any answer: its connection never has another request.
        for name, cut in CUTS.items() - {('late answer', CUTS['late answer'])}:
            for size in cut.sizes():
                with self.subTest(cut=name, size=size), self.assertRaises(ConnBrokenError):
                    await _call(cut, size)

    def test_faulty_variant_end_of_head(self) -> None:
        """The sweep finds a reader that takes the end of the connection for the end of the head."""
        with patch.object(ClientConn, '_feed', _feed_ending_head(ClientConn._feed)):
            found = run_virtual(sweep_plain, CUTS['until close'], SPECS['idempotent'], seed=1)
        self.assertTrue(any('framed as whole' in line for line in found))


async def _call(cut: Cut, size: int) -> None:
    """Call a page whose answers are cut."""
    runner = CutRunner(cut)
    runner.size = size
    with single_error():
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            network.listen(ADDRESS, runner.serve)
            conn = ClientConn(await network.for_host('10.1.0.1').connect(ADDRESS, 1))
            try:
                await conn.exchange(CALL)
            finally:
                conn.close()
                nursery.cancel_scope.cancel()


def _feed_ending_head(feed: Callable[[Any, bytes], None]) -> Callable[[Any, bytes], None]:
    """Return a reader of received bytes that ends the head of an answer with its connection."""

    def feed_ending(conn: Any, received: bytes) -> None:
        feed(conn, received or b'\r\n\r\n')
        if not received:
            feed(conn, b'')

    return feed_ending
