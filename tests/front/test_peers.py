"""Announcements of sends between instances."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from random import Random
from unittest import TestCase

import msgspec
import trio

from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.prompt import Part
from sesamepoint.front.engines.engine_sends import NewLoad, SendTracker, SendUpdate
from sesamepoint.front.runners.engine_subset import EngineSubset
from sesamepoint.front.runners.fleet import Fleet
from sesamepoint.front.peering.peers import Peers
from sesamepoint.front.quarantine.quarantine import Quarantine
from sesamepoint.platform.store import KeyedRecord
from sesamepoint_standins.platform.bench import front_settings
from tests.front.test_engine_subset import fleet_of
from tests.virtual_time import in_virtual_time

INSTANCES = 40


class RecordingNetwork:
    """A network that records sent messages by address."""

    def __init__(self) -> None:
        """Start without messages."""
        self.messages: dict[Address, list[SendUpdate]] = defaultdict(list)

    async def receive(self, address: Address, on_datagram: Callable[[bytes], None]) -> None:
        """Receive nothing."""
        await trio.sleep_forever()

    async def send(self, datagram: bytes, address: Address) -> None:
        """Record a message."""
        self.messages[address].append(msgspec.msgpack.decode(datagram, type=SendUpdate))


async def announce_sends(fleet: Fleet) -> tuple[RecordingNetwork, EngineSubset]:
    """Send a prompt to each engine from the first of 40 instances, and announce these sends."""
    network = RecordingNetwork()
    engine_subset = EngineSubset('front-1', fleet)
    sends = SendTracker('front-1', fleet, Random(1))
    peers = Peers(front_settings(1), sends, Quarantine('front-1'), engine_subset, network)
    for number in range(1, INSTANCES + 1):
        peers.update(KeyedRecord(f'front-{number}', f'10.1.0.{number}:8002'.encode()))
    for member in fleet.of_service('llm'):
        sends.begin(NewLoad(member, 0.1, 1000), [Part('a', 1000)])
    with trio.move_on_after(0.2):
        await peers.broadcast_sends()
    return network, engine_subset


class SendAnnouncementTest(TestCase):
    """Which instances receive an announcement."""

    @in_virtual_time
    async def test_small_fleet_announced_to_all(self) -> None:
        network, _ = await announce_sends(fleet_of(10))
        self.assertEqual(len(network.messages), INSTANCES - 1)
        self.assertEqual({len(messages[0].sends) for messages in network.messages.values()}, {10})

    @in_virtual_time
    async def test_large_fleet_announced_by_subset(self) -> None:
        """Each instance uses about 24 of 600 engines, and receives announcements of sends to these only."""
        fleet = fleet_of(600)
        network, engine_subset = await announce_sends(fleet)
        for number in range(2, INSTANCES + 1):
            messages = network.messages[Address(f'10.1.0.{number}', 8002)]
            announced = {send.runner for message in messages for send in message.sends}
            concerned = {
                key
                for key in fleet.members
                if engine_subset.contains_at(f'front-{number}', key) and key.startswith('i-')
            }
            self.assertEqual(announced, concerned)
