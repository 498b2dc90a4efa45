"""The settings name another address of the store while instances run."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.front.settings import StoreSettings
from sesamepoint.front.store.store_identity import SETTLE_JITTER_S, SETTLE_S
from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.store import PlatformStore
from tests.front.builders import configuration, fleet, new_request, plain_runner
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench

NEW_ADDRESS = Address('10.0.0.77', 8142)
FRONTS = 3
# Runners renew their registrations within this time, in seconds.
RENEWED_S = 1.2
LONG_RUN_S = 20.0
CHECK_S = 0.2
HEARTBEATS = 20


def _move(bench: PlatformBench, front: str) -> None:
    cfg = bench.fronts[front].cfg
    bench.fronts[front].reconfigure(cfg._replace(store=StoreSettings(NEW_ADDRESS)))


def _move_all(bench: PlatformBench, store: PlatformStore | None = None) -> None:
    """Serve the store, or another one, at the new address, silence the old one, and tell all instances."""
    served = bench.store.serve_elsewhere()
    bench.network.listen(NEW_ADDRESS, store.serve if store else served)
    for front in bench.fronts:
        _move(bench, front)


def _versions(bench: PlatformBench) -> set[int]:
    """Return the versions in force at any instance."""
    found = [front.dispatcher.configuration for front in bench.fronts.values()]
    return {cfg.version if cfg else 0 for cfg in found}


class MovedStoreTest(TestCase):
    """Instances use the new address at once, and lose nothing that they know."""

    @in_virtual_time
    async def test_configuration_after_move(self) -> None:
        """Guards against instances that ask the store at its address of before until they are restarted."""
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(LONG_RUN_S)
            _move_all(bench)
            bench.publish(configuration(version=2))
            await trio.sleep(bench.fronts['front-1'].cfg.config_s)
            self.assertEqual(_versions(bench), {2})

    @in_virtual_time
    async def test_runners_after_move(self) -> None:
        """Guards against instances that send to a runner which left after the store had moved."""
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(LONG_RUN_S)
            _move_all(bench)
            bench.drop_registration('i-web1')
            await trio.sleep(bench.fronts['front-1'].cfg.drain_s)
            runs_before = len(bench.runners['i-web1'].runs)
            for front in bench.fronts:
                for _ in range(10):
                    answer = await bench.new_caller(front).send(new_request('/thumb/a'))
                    self.assertEqual(answer.status, 200)
            self.assertEqual(len(bench.runners['i-web1'].runs), runs_before)

    @in_virtual_time
    async def test_instances_moved_in_turn(self) -> None:
        """Guards against instances that wait for each other while not all of them know the new address."""
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(LONG_RUN_S)
            bench.network.listen(NEW_ADDRESS, bench.store.serve)
            for version, front in enumerate(bench.fronts, 2):
                _move(bench, front)
                bench.publish(configuration(version=version))
                await trio.sleep(bench.fronts['front-1'].cfg.config_s)
                self.assertEqual(_versions(bench), {version})

    @in_virtual_time
    async def test_silent_store_at_new_address(self) -> None:
        """Guards against instances that forget routes and runners before the store has answered where it is now."""
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            for front in bench.fronts:
                _move(bench, front)
            await trio.sleep(LONG_RUN_S)
            answer = await bench.new_caller('front-1').send(new_request('/thumb/a'))
            self.assertEqual((answer.status, _versions(bench)), (200, {1}))

    @in_virtual_time
    async def test_peers_at_other_store(self) -> None:
        """Guards against a moved instance that believes peers whose store, of before, has lost all registrations."""
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(LONG_RUN_S)
            before = bench.store
            bench.store = PlatformStore()
            bench.network.listen(NEW_ADDRESS, bench.store.serve)
            bench.publish(configuration())
            for key in bench.runners:
                bench.renew_registration(key)
            for _ in range(HEARTBEATS):
                for key in bench.runners:
                    before.put(RUNNER_TOPIC, key, bench.runners[key].registration)
            _move(bench, 'front-1')
            await trio.sleep(RENEWED_S)
            for key in bench.runners:
                before.put(RUNNER_TOPIC, key, None)
                await trio.sleep(CHECK_S)
            await trio.sleep(RENEWED_S)
            members = bench.fronts['front-1'].fleet.members.values()
            registered = [member.runner.key for member in members if member.presence.registered]
            self.assertEqual(registered, list(bench.runners))

    @in_virtual_time
    async def test_other_store(self) -> None:
        """Guards against a store with other contents that takes instances back, or takes their runners away."""
        async with open_bench(configuration(version=5), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(LONG_RUN_S)
            other = PlatformStore()
            _move_all(bench, other)
            bench.store = other
            bench.publish(configuration(version=4))
            await trio.sleep(RENEWED_S)
            for _ in range(10):
                answer = await bench.new_caller('front-1').send(new_request('/thumb/a'))
                self.assertEqual(answer.status, 200)
            for key in bench.runners:
                bench.renew_registration(key)
            await trio.sleep(SETTLE_S + SETTLE_JITTER_S + 1)
            self.assertEqual(_versions(bench), {5})
            bench.add_runner(plain_runner(9))
            bench.publish(configuration(version=6))
            await trio.sleep(bench.fronts['front-1'].cfg.config_s)
            self.assertEqual(_versions(bench), {6})
            self.assertIn('i-web9', bench.fronts['front-2'].fleet.members)
