"""Which engines an entry knows, of small fleets and of large ones."""

from __future__ import annotations

from collections import Counter
from unittest import TestCase

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint.front.fleet import Fleet
from sesamepoint.front.known_engines import KNOWN, KnownEngines
from sesamepoint.http1.transport import SocketNetwork
from sesamepoint.platform.configuration import decode_configuration
from tests.front.builders import encoded_configuration, open_gate
from tests.virtual import virtual

ENTRIES = tuple(f'front-{number}' for number in range(350))


def fleet_of(engines: int, stage: Stage = Stage.decode) -> Fleet:
    """Return a fleet of ``engines``, and one plain service."""
    fleet = Fleet(2.0, SocketNetwork(), trio.current_time, open_gate())
    for number in range(engines):
        fleet.update(Runner(f'i-{number}', 'llm', Address('10.0.0.1', number), 'z1', 24, leaving=False, stage=stage))
    for number in range(40):
        address = Address('10.0.0.2', number)
        fleet.update(Runner(f'w-{number}', 'web', address, 'z1', 6, leaving=False, stage=Stage.plain))
    return fleet


class KnownEnginesTest(TestCase):
    """Each entry knows a share, and knows what the others know."""

    @virtual
    async def test_small_fleet_known_whole(self) -> None:
        known = KnownEngines('front-1', fleet_of(KNOWN))
        self.assertEqual(len(known.of_service('llm')), KNOWN)
        self.assertTrue(known.whole)

    @virtual
    async def test_large_fleet_in_even_shares(self) -> None:
        """600 engines before 350 entries: each entry knows some 24, each engine is known to some 14.

        An engine that no entry knew would stand idle; what all knew all
        would have to be told of.
        """
        fleet = fleet_of(600)
        by_entry = [KnownEngines(entry, fleet).of_service('llm') for entry in ENTRIES]
        sizes = [len(members) for members in by_entry]
        self.assertGreater(min(sizes), 6)
        self.assertLess(max(sizes), 2 * KNOWN)
        known = Counter(member.runner.key for members in by_entry for member in members)
        self.assertEqual(len(known), 600)
        self.assertLess(max(known.values()), 3 * len(ENTRIES) * KNOWN / 600)
        self.assertFalse(KnownEngines('front-1', fleet).whole)

    @virtual
    async def test_others_known_alike(self) -> None:
        """Entry 1 tells just those of a send that know the engine themselves."""
        fleet = fleet_of(100)
        first = KnownEngines('front-1', fleet)
        second = KnownEngines('front-2', fleet)
        for member in fleet.of_service('llm'):
            self.assertEqual(first.at('front-2', member.runner.key), second.here(member.runner))

    @virtual
    async def test_plain_services_known_whole(self) -> None:
        self.assertEqual(len(KnownEngines('front-1', fleet_of(600)).of_service('web')), 40)

    @virtual
    async def test_fleet_grows(self) -> None:
        """What was known is looked up again when runners come."""
        fleet = fleet_of(KNOWN)
        known = KnownEngines('front-1', fleet)
        known.of_service('llm')
        for number in range(KNOWN, 10 * KNOWN):
            address = Address('10.0.0.1', number)
            fleet.update(Runner(f'i-{number}', 'llm', address, 'z1', 24, leaving=False, stage=Stage.decode))
        self.assertLess(len(known.of_service('llm')), 2 * KNOWN)


class MemorySizeTest(TestCase):
    """Sizes of engines' memories come with the configuration."""

    @virtual
    async def test_registered_before_configuration(self) -> None:
        """A front that starts may read the runners first; their memories must not stay at the guess."""
        fleet = fleet_of(1)
        member = fleet.members['i-0']
        fleet.configure(decode_configuration(encoded_configuration()))
        self.assertEqual(member.kv_tokens, 548_319)
