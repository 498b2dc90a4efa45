"""Lease of a duty: one holder at a time under lost and late calls, freezes and restores of the store."""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

import msgspec

from sesamepoint_core.duty.lease import (
    HOLD_S,
    MAX_RECENT,
    ClaimAnswer,
    ClaimState,
    Holder,
    Lease,
    LeaseRecord,
    LeaseTimes,
    LogView,
)
from tests.core.lease_simulation import CLAIM_S, LeaseSimulation

MIN_TURN_S = 3.0
LEASE_S = 3.0
STEPS = 3000
# With tokens counted on from the newest record, seed 30 had two holders with the same one.
# In the last three a holder assumed that no other one had come between, and one had.
SEEDS = (*range(1, 41), 391, 599, 947)


def _violations(seed: int) -> list[str]:
    simulation = LeaseSimulation(seed)
    simulation.run(STEPS)
    return simulation.violations(MIN_TURN_S)


def _unbroken_claims(seed: int) -> int:
    simulation = LeaseSimulation(seed)
    simulation.run(STEPS)
    return simulation.unbroken_claims


def _always(*_: object) -> ClaimAnswer:
    return ClaimAnswer(ClaimState.free)


def _numbered_by_log(lease: Lease, now: float) -> LeaseRecord:
    """Return a record whose fencing token counts on from the newest record in the log."""
    if lease.fence is not None:
        return LeaseRecord(lease._owner.name, lease.fence, lease.epoch)  # noqa: SLF001
    view = lease._view  # noqa: SLF001
    newest = view.record.fence if view and view.record else 0
    return LeaseRecord(lease._owner.name, newest + 1, lease.epoch)  # noqa: SLF001


class LeaseTest(TestCase):
    """Five simulated minutes a seed with lost and late calls, freezes and restores of the store."""

    def test_no_two_hold_at_a_time(self) -> None:
        """Fencing tokens increase, each has one holder, and holders do not alternate quickly."""
        self.assertEqual([_violations(seed) for seed in SEEDS], [[] for _ in SEEDS])

    def test_somebody_holds_mostly(self) -> None:
        """Guards against a lease that no instance holds for most of the time."""
        simulation = LeaseSimulation(1)
        simulation.run(STEPS)
        self.assertGreater(len({round(act.at, 1) for act in simulation.acts}), STEPS / 3)
        self.assertGreater(len({act.name for act in simulation.acts}), 1)

    def test_unbroken_claims_are_made(self) -> None:
        """After a restore of the store, holders continue when no other instance can have held the lease."""
        self.assertGreater(sum(_unbroken_claims(seed) for seed in SEEDS), len(SEEDS))

    def test_claim_without_wait(self) -> None:
        """Without waiting for the previous holder to stop, two instances act at a time."""
        with patch.object(Lease, 'may_claim', _always):
            self.assertTrue(any(_violations(seed) for seed in SEEDS))

    def test_hold_as_long_as_wait(self) -> None:
        """A holder that acts for longer than the others wait acts at the same time as the next one."""
        with patch('sesamepoint_core.duty.lease.HOLD_S', CLAIM_S + 1):
            self.assertTrue(any(_violations(seed) for seed in SEEDS))

    def test_numbers_from_log_alone(self) -> None:
        """With tokens counted on from the log alone, two holders have the same one after a restore."""
        with patch.object(Lease, 'next_record', _numbered_by_log):
            self.assertTrue(any(_violations(seed) for seed in SEEDS))

    def test_given_back(self) -> None:
        """Guards against a wait before the claim of a released lease."""
        lease = new_lease('i1')
        lease.on_read(released_by('i2'), 5)
        self.assertIs(lease.may_claim(5).state, ClaimState.free)
        self.assertEqual(lease.next_record(5), LeaseRecord('i1', 1_000_000_004, 1, (holder('i2'), holder('i1'))))


class ReturnTest(TestCase):
    """Claims of instances that may have acted within the lease time, before another one did."""

    def test_returns_after_another(self) -> None:
        """Guards against a process that has started again and does not know that it acted before another one."""
        for name, host in (('i1', 'i1'), ('i1', 'new'), ('new', 'i1')):
            lease = Lease(Holder(name, host), LeaseTimes.from_lease(LEASE_S), 5)
            lease.on_read(released_by('i1', 'i2'), 5)
            self.assertEqual(lease.may_claim(5), ClaimAnswer(ClaimState.recent, LEASE_S + 0.5))
            self.assertIs(lease.may_claim(5 + LEASE_S + 0.5).state, ClaimState.free)

    def test_returns_after_itself(self) -> None:
        """Guards against a wait of the process that has acted last."""
        lease = new_lease('i2')
        lease.on_read(released_by('i1', 'i2'), 5)
        self.assertIs(lease.may_claim(5).state, ClaimState.free)
        self.assertEqual(lease.next_record(5).recent, (holder('i1'), holder('i2')))

    def test_acts_of_earlier_process_named(self) -> None:
        """Guards against a release that does not name a machine whose process before has acted."""
        lease = new_lease('i2')
        lease.on_read(released_by('i1', 'i2'), 5)
        lease.on_appended(lease.next_record(5), 4, 5)
        self.assertEqual(lease.release_record(6).recent, (holder('i1'), holder('i2')))

    def test_long_running_process_knows(self) -> None:
        """Guards against a wait of a process that knows that it has not acted lately, whatever the record says."""
        lease = Lease(holder('i1'), LeaseTimes.from_lease(LEASE_S), now=-60)
        for view in (released_by('i1', 'i2'), OLD_RELEASE):
            lease.on_read(view, 5)
            self.assertIs(lease.may_claim(5).state, ClaimState.free)

    def test_record_without_names(self) -> None:
        """Guards against a release by an earlier version, or one before a restore, that hides who acted."""
        for view in (OLD_RELEASE, LogView(2, 3, released_by('i2').record), LogView(1, 0, None)):
            lease = new_lease('i1')
            lease.on_read(view, 5)
            self.assertIsNot(lease.may_claim(5).state, ClaimState.free)
            self.assertIs(lease.may_claim(5 + LEASE_S + 0.5).state, ClaimState.free)

    def test_lease_never_held(self) -> None:
        """Guards against a first holder after which nobody may claim, though nobody else can have acted.

        Instances that were all stopped and started each 10 s, with a lease time of 6 s, held the duty never again.
        """
        lease = new_lease('i1')
        lease.on_read(LogView(0, 0, None), 5)
        lease.on_appended(lease.next_record(8.5), 1, 8.5)
        lease.note_acted(9)
        self.assertEqual(lease.release_record(9).recent, (holder('i1'),))

    def test_names_expire(self) -> None:
        """Guards against names that stay in the record for good, so that their instances wait without need."""
        lease = new_lease('i1')
        lease.on_read(released_by('i2'), 5)
        lease.on_appended(lease.next_record(5), 4, 5)
        lease.note_acted(6)
        self.assertEqual(lease.next_record(8).recent, (holder('i2'), holder('i1')))
        self.assertEqual(lease.next_record(5 + LEASE_S + 0.5).recent, (holder('i1'),))
        self.assertEqual(lease.release_record(6 + LEASE_S + 0.5).recent, ())

    def test_take_over_before_long_lease_ends(self) -> None:
        """Guards against windows without a holder because a lease time longer than a holder's is waited for."""
        lease = Lease(holder('i3'), LeaseTimes.from_lease(10), now=0)
        lease.on_read(LogView(1, 3, LeaseRecord('i2', 1, 1, (holder('i1'), holder('i2')))), 5)
        self.assertEqual(lease.may_claim(8), ClaimAnswer(ClaimState.held, 0.5))
        self.assertIs(lease.may_claim(8.5).state, ClaimState.free)

    def test_short_lease(self) -> None:
        """Guards against two holders at a time where the lease time is shorter than a holder may act."""
        lease = Lease(holder('i3'), LeaseTimes.from_lease(1), now=0)
        lease.on_read(LogView(1, 3, LeaseRecord('i2', 1, 1, (holder('i2'),))), 5)
        self.assertIs(lease.may_claim(5 + HOLD_S).state, ClaimState.held)

    def test_records_of_other_versions(self) -> None:
        """Guards against records that a version before can't read, or that can't be read from it."""
        record = LeaseRecord('i1', 5, 1, (holder('i2'), holder('i1')), 77)
        self.assertEqual(
            msgspec.json.decode(msgspec.json.encode(record), type=_EarlierRecord), _EarlierRecord('i1', 5, 1)
        )
        earlier = msgspec.json.encode(_EarlierRecord('i1', 5, 1))
        self.assertEqual(msgspec.json.decode(earlier, type=LeaseRecord), LeaseRecord('i1', 5, 1))

    def test_chain_of_releases_bounded(self) -> None:
        """Guards against a record that grows with each release; without all names nobody is known not to have acted."""
        view = released_by(*(f'i{number}' for number in range(MAX_RECENT)))
        lease = new_lease('other')
        lease.on_read(view, 5)
        self.assertIsNone(lease.next_record(5).recent)


def holder(name: str) -> Holder:
    """Return the holder ``name`` on a machine of its own."""
    return Holder(name, name)


def new_lease(name: str) -> Lease:
    """Return the lease of an instance that has just started."""
    return Lease(holder(name), LeaseTimes.from_lease(LEASE_S), now=4.9)


def released_by(*names: str) -> LogView:
    """Return a log whose newest record is a release after these holders have acted."""
    recent = tuple(holder(name) for name in names)
    return LogView(1, 3, LeaseRecord('', 1_000_000_002, 1, recent))


class _EarlierRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record as versions before this one write and read it."""

    holder: str
    fence: int
    epoch: int


OLD_RELEASE = LogView(1, 4, LeaseRecord('', 1_000_000_002, 1))
