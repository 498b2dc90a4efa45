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
from sesamepoint.front.fleet import Fleet
from sesamepoint.front.known_engines import KnownEngines
from sesamepoint.front.peers import Peers
from sesamepoint.front.quarantine import Quarantine
from sesamepoint.front.sends import NewLoad, SendNotes, Word
from sesamepoint.platform.store import KeyedRecord
from sesamepoint_standins.platform.bed import front_settings
from tests.front.test_known_engines import fleet_of
from tests.virtual import virtual

PEERS = 40


class RecordingNetwork:
    """A network that records sent messages by address."""

    def __init__(self) -> None:
        """Start without messages."""
        self.words: dict[Address, list[Word]] = defaultdict(list)

    async def receive(self, address: Address, take: Callable[[bytes], None]) -> None:
        """Receive nothing."""
        await trio.sleep_forever()

    async def send(self, datagram: bytes, address: Address) -> None:
        """Record a message."""
        self.words[address].append(msgspec.msgpack.decode(datagram, type=Word))


async def tell_of_sends(fleet: Fleet) -> tuple[RecordingNetwork, KnownEngines]:
    """Send a prompt to each engine from the first of 40 instances, and announce these sends."""
    network = RecordingNetwork()
    engine_subset = KnownEngines('front-1', fleet)
    sends = SendNotes('front-1', fleet, Random(1))
    peers = Peers(front_settings(1), sends, Quarantine('front-1'), engine_subset, network)
    for number in range(1, PEERS + 1):
        peers.update(KeyedRecord(f'front-{number}', f'10.1.0.{number}:8002'.encode()))
    for member in fleet.of_service('llm'):
        sends.begin(NewLoad(member, 0.1, 1000), [Part('a', 1000)])
    with trio.move_on_after(0.2):
        await peers.tell()
    return network, engine_subset


class TellTest(TestCase):
    """Which instances receive an announcement."""

    @virtual
    async def test_small_fleet_all_told(self) -> None:
        network, _ = await tell_of_sends(fleet_of(10))
        self.assertEqual(len(network.words), PEERS - 1)
        self.assertEqual({len(messages[0].sends) for messages in network.words.values()}, {10})

    @virtual
    async def test_large_fleet_knowers_told(self) -> None:
        """Each instance uses about 24 of 600 engines, and receives announcements of sends to these only."""
        fleet = fleet_of(600)
        network, engine_subset = await tell_of_sends(fleet)
        for number in range(2, PEERS + 1):
            messages = network.words[Address(f'10.1.0.{number}', 8002)]
            announced = {send.runner for message in messages for send in message.sends}
            concerned = {
                key for key in fleet.members if engine_subset.at(f'front-{number}', key) and key.startswith('i-')
            }
            self.assertEqual(announced, concerned)
