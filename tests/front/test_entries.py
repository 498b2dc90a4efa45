"""Failure detection among instances that stop, are killed, or are cut off from their peers."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint.front.membership import ALIVE_S, LOST_S, Membership
from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from tests.front.builders import configuration, fleet
from tests.virtual import virtual

FRONTS = 5
# Time until the other instances know of a changed record, by polling the store or by an update.
READ_S = 2.5
# Time until the polling instance has received heartbeats, has declared one peer
# dead, and all know. Twice the time-out, since the failed one may be polling.
MISSED_S = 2 * LOST_S + READ_S
OTHERS = tuple(f'e{number}' for number in range(10))


def counts(bed: PlatformBed, *without: str) -> set[int]:
    """Return the distinct instance counts that the fronts have, except those in ``without``."""
    return {front.peers.count() for name, front in bed.fronts.items() if name not in without}


def cut_from_peers(bed: PlatformBed, number: int) -> None:
    """Block all datagrams between a front and the others; all still reach the store."""
    others = (other for other in range(1, FRONTS + 1) if other != number)
    bed.network.cut.update(frozenset((f'10.1.0.{number}', f'10.1.0.{other}')) for other in others)


class MembershipTest(TestCase):
    """Membership decisions, without network or store."""

    def setUp(self) -> None:
        """Register ten peers."""
        self.members = Membership('e-own')
        for name in OTHERS:
            self.members.join(name, 0)

    def test_lost_after_silence(self) -> None:
        """A peer is declared dead after the time-out without any message, not before."""
        for name in OTHERS[1:]:
            self.members.heard(name, LOST_S)
        self.assertEqual(self.members.lost(LOST_S), [])
        self.assertEqual([lost.name for lost in self.members.lost(LOST_S + 1)], ['e0'])

    def test_hears_few(self) -> None:
        """Guards against an isolated instance that declares its peers dead.

        An instance that receives from less than half of its peers declares
        none dead, nor just after it receives from them again.
        """
        for name in OTHERS[:4]:
            self.members.heard(name, LOST_S)
        self.members.listen(LOST_S + 1, reading=True)
        self.assertEqual(self.members.lost(LOST_S + 1), [])
        for name in OTHERS[1:]:
            self.members.heard(name, LOST_S + 2)
        self.members.listen(LOST_S + 2, reading=True)
        self.assertEqual(self.members.lost(LOST_S + 2), [])

    def test_unregistered_not_counted(self) -> None:
        """A message from a sender that is not registered adds no member."""
        self.members.heard('stranger', 1)
        self.assertNotIn('stranger', self.members)

    def test_not_the_reader(self) -> None:
        """An instance that does not poll gets no heartbeats, so it must not take silence for failure."""
        self.members.listen(LOST_S, reading=False)
        self.assertEqual(self.members.lost(LOST_S + 1), [])

    def test_untold(self) -> None:
        """A heartbeat goes to the polling instance only, and only if nothing else was sent to it recently."""
        self.assertIsNone(self.members.untold(ALIVE_S))
        self.members.read_by('e0')
        self.assertEqual(self.members.untold(ALIVE_S), 'e0')
        self.members.told('e0', ALIVE_S)
        self.assertIsNone(self.members.untold(ALIVE_S))

    def test_own_record_is_no_other(self) -> None:
        """Guards against an instance that counts its own record as a peer."""
        self.members.join('e-own', 0)
        self.assertNotIn('e-own', self.members)


class EntriesTest(TestCase):
    """The number of instances that share the retry budget and get messages."""

    @virtual
    async def test_stop_withdraws(self) -> None:
        """A planned stop removes the front's record, and the others take over its share of the budget."""
        async with running_bed(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(READ_S)
            self.assertEqual(counts(bench), {FRONTS})
            await bench.fronts['front-2'].wind_down()
            bench.kill_front('front-2')
            await trio.sleep(READ_S)
            self.assertEqual(counts(bench, 'front-2'), {FRONTS - 1})

    @virtual
    async def test_killed_forgotten(self) -> None:
        """Guards against the record of a killed front that stays forever.

        A killed front does not remove its record. The others kept its share
        of the retry budget unused and went on sending messages to its
        address. The polling instance declares it dead and drops its record.
        """
        async with running_bed(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(READ_S)
            bench.kill_front('front-2')
            await trio.sleep(LOST_S / 2)
            self.assertEqual(counts(bench, 'front-2'), {FRONTS})
            await trio.sleep(MISSED_S)
            self.assertEqual(counts(bench, 'front-2'), {FRONTS - 1})

    @virtual
    async def test_started_again_stays(self) -> None:
        """Guards against dropping a front that is killed and restarts within seconds."""
        async with running_bed(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(READ_S)
            bench.kill_front('front-2')
            await trio.sleep(LOST_S / 2)
            bench.add_front(2)
            for _ in range(int(LOST_S)):
                await trio.sleep(1)
                self.assertEqual(counts(bench, 'front-2'), {FRONTS})

    @virtual
    async def test_hears_nobody(self) -> None:
        """Guards against an isolated front that drops the records of all its peers.

        It receives nothing from its peers, but reads and writes the store,
        and may be the polling instance. It declares no peer dead. The others
        drop its record, it sees that and registers again, and all count each
        other once the network is back.
        """
        async with running_bed(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(READ_S)
            cut_from_peers(bench, 1)
            for _ in range(int(3 * LOST_S)):
                await trio.sleep(1)
                self.assertTrue(counts(bench) <= {FRONTS, FRONTS - 1})
            bench.network.cut.clear()
            await trio.sleep(READ_S)
            self.assertEqual(counts(bench), {FRONTS})

    @virtual
    async def test_quiet_fleet_stays(self) -> None:
        """Guards against idle instances that are declared dead because there are no messages but heartbeats."""
        async with running_bed(configuration(), fleet(), fronts=FRONTS) as bench:
            await trio.sleep(3 * LOST_S)
            self.assertEqual(counts(bench), {FRONTS})
