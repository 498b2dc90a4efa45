"""The subset of engines that an instance uses, in small and in large fleets."""

from __future__ import annotations

from collections import Counter
from unittest import TestCase

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint.front.runners.engine_subset import SUBSET_ENGINES, EngineSubset
from sesamepoint.front.runners.fleet import Fleet
from sesamepoint.http1.transport import SocketNetwork
from sesamepoint.platform.configuration import decode_configuration
from tests.front.builders import encoded_configuration, permissive_send_check
from tests.virtual_time import in_virtual_time

INSTANCES = tuple(f'front-{number}' for number in range(350))


def fleet_of(engines: int, stage: Stage = Stage.decode) -> Fleet:
    """Return a fleet of ``engines`` engines, and 40 runners of a plain service."""
    fleet = Fleet(2.0, SocketNetwork(), trio.current_time, permissive_send_check())
    for number in range(engines):
        fleet.update(Runner(f'i-{number}', 'llm', Address('10.0.0.1', number), 'z1', 24, draining=False, stage=stage))
    for number in range(40):
        address = Address('10.0.0.2', number)
        fleet.update(Runner(f'w-{number}', 'web', address, 'z1', 6, draining=False, stage=Stage.plain))
    return fleet


class EngineSubsetTest(TestCase):
    """Each instance uses a subset, and can compute the subsets of its peers."""

    @in_virtual_time
    async def test_small_fleet_covered(self) -> None:
        """Guards against instances that use only a part of a small fleet."""
        subset = EngineSubset('front-1', fleet_of(SUBSET_ENGINES))
        self.assertEqual(len(subset.of_service('llm')), SUBSET_ENGINES)
        self.assertTrue(subset.covers_fleet)

    @in_virtual_time
    async def test_large_fleet_split_evenly(self) -> None:
        """Guards against engines that no instance, or too many instances, use.

        With 600 engines and 350 instances, each instance uses some 24 engines
        and each engine is used by some 14 instances. An engine outside all
        subsets would be idle; a send to one in all subsets would have to be
        announced to every instance.
        """
        fleet = fleet_of(600)
        by_instance = [EngineSubset(instance, fleet).of_service('llm') for instance in INSTANCES]
        sizes = [len(members) for members in by_instance]
        self.assertGreater(min(sizes), 6)
        self.assertLess(max(sizes), 2 * SUBSET_ENGINES)
        uses = Counter(member.runner.key for members in by_instance for member in members)
        self.assertEqual(len(uses), 600)
        self.assertLess(max(uses.values()), 3 * len(INSTANCES) * SUBSET_ENGINES / 600)
        self.assertFalse(EngineSubset('front-1', fleet).covers_fleet)

    @in_virtual_time
    async def test_subsets_of_peers_agree(self) -> None:
        """Guards against a send that is announced to the wrong peers, rather than to those that use the engine."""
        fleet = fleet_of(100)
        first = EngineSubset('front-1', fleet)
        second = EngineSubset('front-2', fleet)
        for member in fleet.of_service('llm'):
            self.assertEqual(first.contains_at('front-2', member.runner.key), second.contains(member.runner))

    @in_virtual_time
    async def test_plain_services_covered(self) -> None:
        """Guards against instances that use only a part of the runners of a plain service."""
        self.assertEqual(len(EngineSubset('front-1', fleet_of(600)).of_service('web')), 40)

    @in_virtual_time
    async def test_fleet_grows(self) -> None:
        """The subset is computed anew when runners register."""
        fleet = fleet_of(SUBSET_ENGINES)
        subset = EngineSubset('front-1', fleet)
        subset.of_service('llm')
        for number in range(SUBSET_ENGINES, 10 * SUBSET_ENGINES):
            address = Address('10.0.0.1', number)
            fleet.update(Runner(f'i-{number}', 'llm', address, 'z1', 24, draining=False, stage=Stage.decode))
        self.assertLess(len(subset.of_service('llm')), 2 * SUBSET_ENGINES)


class MemorySizeTest(TestCase):
    """Sizes of engine caches, which come with the configuration."""

    @in_virtual_time
    async def test_registered_before_configuration(self) -> None:
        """Guards against cache sizes that stay at the default if runners are read before the configuration."""
        fleet = fleet_of(1)
        member = fleet.members['i-0']
        fleet.configure(decode_configuration(encoded_configuration()))
        self.assertEqual(member.kv_tokens, 548_319)
