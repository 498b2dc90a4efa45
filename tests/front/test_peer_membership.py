"""Failure detection among instances that stop, are killed, or are cut off from their peers."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint.front.peering.membership import FAILURE_TIMEOUT_S, HEARTBEAT_S, Membership
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, fleet
from tests.virtual_time import in_virtual_time

FRONTS = 5
# Time until the other instances know of a changed record, by polling the store or by an update.
RECORD_UPDATE_S = 2.5
# Time until the polling instance has received heartbeats, has declared one peer
# dead, and all know. Twice the time-out, since the failed one may be polling.
FAILURE_DETECTION_S = 2 * FAILURE_TIMEOUT_S + RECORD_UPDATE_S
PEERS = tuple(f'e{number}' for number in range(10))


def instance_counts(bench: PlatformBench, *excluded: str) -> set[int]:
    """Return the distinct instance counts that the fronts have, except those in ``excluded``."""
    return {front.peers.count() for name, front in bench.fronts.items() if name not in excluded}


def isolate_from_peers(bench: PlatformBench, number: int) -> None:
    """Block all datagrams between a front and the others; all still reach the store."""
    others = (other for other in range(1, FRONTS + 1) if other != number)
    bench.network.cut_pairs.update(frozenset((f'10.1.0.{number}', f'10.1.0.{other}')) for other in others)


class MembershipTest(TestCase):
    """Membership decisions, without network or store."""

    def setUp(self) -> None:
        """Register ten peers."""
        self.members = Membership('e-own')
        for name in PEERS:
            self.members.join(name, 0)

    def test_failed_after_silence(self) -> None:
        """A peer is declared dead after the time-out without any message, not before."""
        for name in PEERS[1:]:
            self.members.note_received(name, FAILURE_TIMEOUT_S)
        self.assertEqual(self.members.failed_peers(FAILURE_TIMEOUT_S), [])
        self.assertEqual([lost.name for lost in self.members.failed_peers(FAILURE_TIMEOUT_S + 1)], ['e0'])

    def test_few_peers_reachable(self) -> None:
        """Guards against an isolated instance that declares its peers dead.

        An instance that receives from less than half of its peers declares
        none dead, nor just after it receives from them again.
        """
        for name in PEERS[:4]:
            self.members.note_received(name, FAILURE_TIMEOUT_S)
        self.members.check_isolation(FAILURE_TIMEOUT_S + 1, polling=True)
        self.assertEqual(self.members.failed_peers(FAILURE_TIMEOUT_S + 1), [])
        for name in PEERS[1:]:
            self.members.note_received(name, FAILURE_TIMEOUT_S + 2)
        self.members.check_isolation(FAILURE_TIMEOUT_S + 2, polling=True)
        self.assertEqual(self.members.failed_peers(FAILURE_TIMEOUT_S + 2), [])

    def test_unregistered_sender_ignored(self) -> None:
        """A message from a sender that is not registered adds no member."""
        self.members.note_received('stranger', 1)
        self.assertNotIn('stranger', self.members)

    def test_not_the_poller(self) -> None:
        """An instance that does not poll gets no heartbeats, so it must not take silence for failure."""
        self.members.check_isolation(FAILURE_TIMEOUT_S, polling=False)
        self.assertEqual(self.members.failed_peers(FAILURE_TIMEOUT_S + 1), [])

    def test_heartbeat_due(self) -> None:
        """A heartbeat goes to the polling instance only, and only if nothing else was sent to it recently."""
        self.assertIsNone(self.members.heartbeat_due(HEARTBEAT_S))
        self.members.note_poller('e0')
        self.assertEqual(self.members.heartbeat_due(HEARTBEAT_S), 'e0')
        self.members.note_sent('e0', HEARTBEAT_S)
        self.assertIsNone(self.members.heartbeat_due(HEARTBEAT_S))

    def test_own_record_is_no_peer(self) -> None:
        """Guards against an instance that counts its own record as a peer."""
        self.members.join('e-own', 0)
        self.assertNotIn('e-own', self.members)


class InstanceCountTest(TestCase):
    """The number of instances that share the retry budget and get messages."""

    @in_virtual_time
    async def test_stop_removes_record(self) -> None:
        """A planned stop removes the front's record, and the others take over its share of the budget."""
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(RECORD_UPDATE_S)
            self.assertEqual(instance_counts(bench), {FRONTS})
            await bench.fronts['front-2'].wind_down()
            bench.kill_front('front-2')
            await trio.sleep(RECORD_UPDATE_S)
            self.assertEqual(instance_counts(bench, 'front-2'), {FRONTS - 1})

    @in_virtual_time
    async def test_killed_is_dropped(self) -> None:
        """Guards against the record of a killed front that stays forever.

        A killed front does not remove its record. The others kept its share
        of the retry budget unused and went on sending messages to its
        address. The polling instance declares it dead and drops its record.
        """
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(RECORD_UPDATE_S)
            bench.kill_front('front-2')
            await trio.sleep(FAILURE_TIMEOUT_S / 2)
            self.assertEqual(instance_counts(bench, 'front-2'), {FRONTS})
            await trio.sleep(FAILURE_DETECTION_S)
            self.assertEqual(instance_counts(bench, 'front-2'), {FRONTS - 1})

    @in_virtual_time
    async def test_restarted_stays(self) -> None:
        """Guards against dropping a front that is killed and restarts within seconds."""
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(RECORD_UPDATE_S)
            bench.kill_front('front-2')
            await trio.sleep(FAILURE_TIMEOUT_S / 2)
            bench.add_front(2)
            for _ in range(int(FAILURE_TIMEOUT_S)):
                await trio.sleep(1)
                self.assertEqual(instance_counts(bench, 'front-2'), {FRONTS})

    @in_virtual_time
    async def test_isolated_from_peers(self) -> None:
        """Guards against an isolated front that drops the records of all its peers.

        It receives nothing from its peers, but reads and writes the store,
        and may be the polling instance. It declares no peer dead. The others
        drop its record, it sees that and registers again, and all count each
        other once the network is back.
        """
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(RECORD_UPDATE_S)
            isolate_from_peers(bench, 1)
            for _ in range(int(3 * FAILURE_TIMEOUT_S)):
                await trio.sleep(1)
                self.assertTrue(instance_counts(bench) <= {FRONTS, FRONTS - 1})
            bench.network.cut_pairs.clear()
            await trio.sleep(RECORD_UPDATE_S)
            self.assertEqual(instance_counts(bench), {FRONTS})

    @in_virtual_time
    async def test_idle_instances_stay(self) -> None:
        """Guards against idle instances that are declared dead because there are no messages but heartbeats."""
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(3 * FAILURE_TIMEOUT_S)
            self.assertEqual(instance_counts(bench), {FRONTS})
