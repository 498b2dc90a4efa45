"""Instances that reach one store by addresses of their own, as behind proxies or endpoints of availability zones."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.front.settings import StoreSettings
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, plain_runner
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint.front.front import Front
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.runner import RunnerStandIn

FRONTS = 8
LEAVINGS = 4
CALM_S = 12.0
CHECK_S = 0.05
GIVE_UP_S = 10.0
# Longer than the way of an update to the peers, in seconds.
CUT_S = 0.3


class StorePathsTest(TestCase):
    """Instances believe peers that name the same store otherwise."""

    @in_virtual_time
    async def test_half_refused(self) -> None:
        """Guards against refused instances that drop the updates of peers with another address of the store."""
        async with open_bench(configuration(), _runners(), fronts=FRONTS) as bench:
            await _give_paths(bench)
            refused = [front.cfg.host for front in bench.fronts.values()][::2]
            bench.store.refused_hosts.update(refused)
            for number in range(LEAVINGS):
                late_s = await _late_s(bench, f'i-web{10 + number}')
                self.assertLess(late_s, 0, number)

    @in_virtual_time
    async def test_half_refused_at_restore(self) -> None:
        """Guards against instances that ignore their peers while a restored store refuses them its list."""
        async with open_bench(configuration(), _runners(), fronts=FRONTS) as bench:
            await _give_paths(bench)
            bench.store.refused_hosts.update([front.cfg.host for front in bench.fronts.values()][::2])
            bench.store.roll_back(0)
            await trio.sleep(CHECK_S)
            for number in range(LEAVINGS):
                late_s = await _late_s(bench, f'i-web{10 + number}')
                self.assertLess(late_s, 0, number)

    @in_virtual_time
    async def test_configurations(self) -> None:
        """Guards against refused instances that get new versions from no peer."""
        async with open_bench(configuration(), _runners(), fronts=FRONTS) as bench:
            await _give_paths(bench)
            bench.store.refused_hosts.update([front.cfg.host for front in bench.fronts.values()][::2])
            await self._check_versions(bench)

    @in_virtual_time
    async def test_configurations_half_refused_at_restore(self) -> None:
        """Guards against instances refused by a restored store that request no version from the peers that read it."""
        async with open_bench(configuration(), _runners(), fronts=FRONTS) as bench:
            await _give_paths(bench)
            bench.store.refused_hosts.update([front.cfg.host for front in bench.fronts.values()][::2])
            bench.store.roll_back(0)
            await trio.sleep(CHECK_S)
            await self._check_versions(bench)

    @in_virtual_time
    async def test_lost_update_of_refused(self) -> None:
        """Guards against a leaving whose update a refused instance missed, and which no later update repeats."""
        async with open_bench(configuration(), _runners(), fronts=FRONTS) as bench:
            await _give_paths(bench)
            refused = bench.fronts['front-1']
            bench.store.refused_hosts.add(refused.cfg.host)
            await trio.sleep(CALM_S)
            cut = {frozenset((refused.cfg.host, front.cfg.host)) for front in bench.fronts.values()}
            bench.network.cut_pairs.update(cut)
            bench.drain_runner('i-web10')
            await trio.sleep(CUT_S)
            bench.network.cut_pairs.difference_update(cut)
            bench.drain_runner('i-web11')
            await trio.sleep(refused.cfg.drain_s)
            self.assertFalse(_serves(refused, 'i-web10'))

    async def _check_versions(self, bench: PlatformBench) -> None:
        for version in range(2, 2 + LEAVINGS):
            bench.publish(configuration(version=version))
            await trio.sleep(bench.fronts['front-1'].cfg.config_s)
            for front in bench.fronts.values():
                cfg = front.dispatcher.configuration
                self.assertEqual(cfg and cfg.version, version)


def _runners() -> list[RunnerStandIn]:
    return fleet() + [plain_runner(10 + number) for number in range(LEAVINGS)]


async def _give_paths(bench: PlatformBench) -> None:
    """Give each instance an address of its own for the store, and wait until all use theirs."""
    for number, front in enumerate(bench.fronts.values()):
        path = Address(f'10.7.0.{number}', 8142)
        bench.network.listen(path, bench.store.serve)
        front.reconfigure(front.cfg._replace(store=StoreSettings(path)))
    await trio.sleep(CALM_S)


async def _late_s(bench: PlatformBench, key: str) -> float:
    """Have a runner leave; return how much later than the bound the last instance knows it, in seconds."""
    bench.drain_runner(key)
    left_at = trio.current_time()
    with trio.move_on_after(GIVE_UP_S):
        while any(_serves(front, key) for front in bench.fronts.values()):
            await trio.sleep(CHECK_S)
    return trio.current_time() - left_at - bench.fronts['front-1'].cfg.drain_s


def _serves(front: Front, key: str) -> bool:
    member = front.fleet.members.get(key)
    return member is None or not member.draining
