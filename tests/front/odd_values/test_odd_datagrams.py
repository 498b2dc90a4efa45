"""Datagrams of anyone who reaches the port for messages between instances."""

from __future__ import annotations

from unittest import TestCase

import msgspec
import trio

from sesamepoint.front.peering.peer_messages import VersionMessage
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet
from tests.virtual_time import in_virtual_time

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
