"""What entries tell each other."""

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
    """Keeps the words that were sent, by where to."""

    def __init__(self) -> None:
        """Start with none."""
        self.words: dict[Address, list[Word]] = defaultdict(list)

    async def receive(self, address: Address, take: Callable[[bytes], None]) -> None:
        """Hear nothing."""
        await trio.sleep_forever()

    async def send(self, datagram: bytes, address: Address) -> None:
        """Keep a word."""
        self.words[address].append(msgspec.msgpack.decode(datagram, type=Word))


async def tell_of_sends(fleet: Fleet) -> tuple[RecordingNetwork, KnownEngines]:
    """Send a prompt to each engine from the first of forty entries."""
    network = RecordingNetwork()
    known = KnownEngines('front-1', fleet)
    sends = SendNotes('front-1', fleet, Random(1))
    peers = Peers(front_settings(1), sends, Quarantine('front-1'), known, network)
    for number in range(1, PEERS + 1):
        peers.update(KeyedRecord(f'front-{number}', f'10.1.0.{number}:8002'.encode()))
    for member in fleet.of_service('llm'):
        sends.begin(NewLoad(member, 0.1, 1000), [Part('a', 1000)])
    with trio.move_on_after(0.2):
        await peers.tell()
    return network, known


class TellTest(TestCase):
    """Words to those whom they concern."""

    @virtual
    async def test_small_fleet_all_told(self) -> None:
        network, _ = await tell_of_sends(fleet_of(10))
        self.assertEqual(len(network.words), PEERS - 1)
        self.assertEqual({len(words[0].sends) for words in network.words.values()}, {10})

    @virtual
    async def test_large_fleet_knowers_told(self) -> None:
        """Of 600 engines each entry knows some 24, and hears of sends to those alone."""
        fleet = fleet_of(600)
        network, known = await tell_of_sends(fleet)
        for number in range(2, PEERS + 1):
            words = network.words[Address(f'10.1.0.{number}', 8002)]
            told = {send.runner for word in words for send in word.sends}
            concerned = {key for key in fleet.members if known.at(f'front-{number}', key) and key.startswith('i-')}
            self.assertEqual(told, concerned)
