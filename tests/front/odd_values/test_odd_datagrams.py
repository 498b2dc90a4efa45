"""Datagrams of anyone who reaches the port for messages between instances."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import msgspec
import trio

from sesamepoint import events
from sesamepoint.front.peering.peer_messages import VersionMessage
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import configuration, fleet, new_prompt_request, new_request
from tests.front.odd_values.absurd_messages import AbsurdMessages
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench

SEEDS = (1, 2)
MESSAGES = 150
PAUSE_S = 0.05
SETTLE_S = 20.0
UNEXPECTED = (
    events.MESSAGE_NOT_HANDLED,
    events.COMPONENT_RESTARTED,
    events.CONNECTION_BROKE,
    events.DATAGRAM_UNREADABLE,
)
DEPTH = 50_000
NESTED_LIST = b'\x91' * DEPTH
NESTED_MAP = b'\x81\xa1a' * DEPTH


def _with_surplus(surplus: bytes) -> bytes:
    """Return a message with one element more than it has fields."""
    encoded = msgspec.msgpack.encode(VersionMessage('front-2', 1))
    return b'%c%b%b\xc0' % (encoded[0] + 1, encoded[1:], surplus)


class OddDatagramsTest(TestCase):
    """An instance goes on receiving whatever one datagram holds."""

    @in_virtual_time
    async def test_nested_element(self) -> None:
        """Guards against a nested datagram that ends the task which receives the messages of all peers."""
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            peers = bench.fronts['front-1'].peers
            for surplus in (NESTED_LIST, NESTED_MAP):
                peers.on_datagram(_with_surplus(surplus))

    @in_virtual_time
    async def test_message_whose_handler_fails(self) -> None:
        """Guards against a message that decodes and ends the task which receives those of all peers."""
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            await trio.sleep(2)
            peers = bench.fronts['front-1'].peers
            received: list[VersionMessage] = []

            def fail_once(message: VersionMessage) -> None:
                if not received:
                    received.append(message)
                    raise ArithmeticError
                received.append(message)

            peers.handlers[VersionMessage] = fail_once
            for _ in range(2):
                peers.on_datagram(msgspec.msgpack.encode(VersionMessage('front-2', 1)))
            self.assertEqual(len(received), 2)

    def test_absurd_messages(self) -> None:
        """Guards against messages in range that a handler can't bear, or that keep an instance from serving later."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(_find_failures, seed, seed=seed), [])


async def _find_failures(seed: int) -> list[str]:
    """Send absurd messages of a peer to an instance; return the errors of its handlers and the requests that fail."""
    failures: list[str] = []

    def keep_failures(event: events.Event, **fields: object) -> None:
        if event in UNEXPECTED:
            failures.append(f'{event.text}: {fields}')

    async with open_bench(configuration(), fleet(), fronts=2) as bench:
        messages = AbsurdMessages(Random(seed), ('front-1', 'front-2', *bench.runners))
        await trio.sleep(2)
        with patch.object(events, 'log_event', keep_failures):
            for _ in range(MESSAGES):
                bench.fronts['front-1'].peers.on_datagram(messages.draw('front-2'))
                await trio.sleep(PAUSE_S)
                failures += await _unserved(bench)
            await trio.sleep(SETTLE_S)
            failures += [f'after all: {failure}' for failure in await _unserved(bench)]
    return failures


async def _unserved(bench: PlatformBench) -> list[str]:
    answers = [
        await bench.new_caller('front-1').send(req) for req in (new_request('/thumb/a'), new_prompt_request('/tag/a'))
    ]
    return [f'status {answer.status}' for answer in answers if not answer.status]
