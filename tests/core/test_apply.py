"""Rules of the fold over the control log."""

from __future__ import annotations

from unittest import TestCase

import msgspec

from sesamepoint_core.fold.record_outcome import Accepted, Rejected, Repeated
from sesamepoint_core.fold.records import ClaimLease, Order, OrderDone, Publish, RenewLease, SwitchPreset, encode
from tests.builders import StateBuilder, publish

FLEET = 'verdict-llm'


def order(fence: int, version: int, role: str = 'prefill') -> Order:
    """Return an order to the first runner."""
    return Order(FLEET, 'verdict-1', role, fence, version, 'test')


class ConfigurationTest(TestCase):
    """Configuration and presets."""

    def test_publish_racing_operators(self) -> None:
        # Two operators publish on top of version 1. The first record on the log
        # is accepted. The other one is rejected, since its file lacks the accepted
        # change; the rejection names the other operator and a remedy.
        fold = StateBuilder()
        fold.add(publish(0))
        first = fold.add(publish(1, operator='bikash'), writer='b')
        second = fold.add(publish(1, operator='chandra'), writer='c')
        self.assertIsInstance(first.outcome, Accepted)
        assert isinstance(second.outcome, Rejected)
        self.assertEqual(second.outcome.code, 'version_conflict')
        self.assertIn('bikash', second.outcome.reason)
        self.assertIn('sesamectl show', second.outcome.remedy)
        self.assertEqual(fold.state.version, 2)

    def test_publish_repeated_append(self) -> None:
        # The reply to an append is lost and the operator's tool appends the same
        # record again. The second copy on the log must not create another version.
        fold = StateBuilder()
        payload = encode('tool', 1, publish(0))
        fold.add_payload(payload)
        self.assertIsInstance(fold.add_payload(payload).outcome, Repeated)
        self.assertEqual(fold.state.version, 1)

    def test_publish_invalid_configuration(self) -> None:
        fold = StateBuilder()
        step = fold.add(Publish(0, 'asha', msgspec.Raw(b'{"fleets": 3}')))
        assert isinstance(step.outcome, Rejected)
        self.assertEqual(step.outcome.code, 'invalid')
        self.assertEqual(fold.state.version, 0)

    def test_switch_unknown_preset(self) -> None:
        fold = StateBuilder()
        fold.add(publish(0))
        step = fold.add(SwitchPreset(1, 'asha', 'festival'))
        assert isinstance(step.outcome, Rejected)
        self.assertEqual(fold.state.preset, 'ordinary')

    def test_switch_from_current_version(self) -> None:
        fold = StateBuilder()
        fold.add(publish(0))
        fold.add(SwitchPreset(1, 'asha', 'peak'))
        self.assertEqual((fold.state.version, fold.state.preset), (2, 'peak'))

    def test_unreadable_record(self) -> None:
        fold = StateBuilder()
        step = fold.add_payload(b'\xff not ours')
        assert isinstance(step.outcome, Rejected)
        self.assertEqual(fold.state.offset, 0)


class LeaseTest(TestCase):
    """Leases, and orders of lease holders."""

    def test_claim_after_renewal(self) -> None:
        # A process claims the lease because it has seen no renewal, but a renewal
        # precedes the claim on the log. The claim must be rejected, or there would
        # be two valid holders.
        fold = StateBuilder()
        fold.add(ClaimLease(FLEET, 'a', -1), writer='a')
        fold.add(RenewLease(FLEET, 0), writer='a')
        step = fold.add(ClaimLease(FLEET, 'b', 0), writer='b')
        assert isinstance(step.outcome, Rejected)
        self.assertEqual(fold.state.leases[FLEET].holder, 'a')

    def test_order_of_former_holder(self) -> None:
        # A holder is paused, another process claims its lease, then the first one
        # resumes and appends a prepared order. No engine may receive that order.
        fold = StateBuilder()
        fold.add(publish(0))
        fold.add(ClaimLease(FLEET, 'a', -1), writer='a')
        fold.add(ClaimLease(FLEET, 'b', 1), writer='b')
        step = fold.add(order(fence=1, version=1), writer='a')
        assert isinstance(step.outcome, Rejected)
        self.assertEqual(step.outcome.code, 'fenced')
        self.assertEqual(fold.state.orders, {})

    def test_order_under_superseded_version(self) -> None:
        # An operator switches the preset while an order is planned under the previous
        # one. The order is appended after the switch and must have no effect.
        fold = StateBuilder()
        fold.add(publish(0))
        fold.add(ClaimLease(FLEET, 'a', -1), writer='a')
        fold.add(SwitchPreset(1, 'asha', 'maintenance'), writer='tool')
        step = fold.add(order(fence=1, version=1), writer='a')
        assert isinstance(step.outcome, Rejected)
        self.assertEqual(step.outcome.code, 'superseded')

    def test_order_done_for_older_order(self) -> None:
        fold = StateBuilder()
        fold.add(publish(0))
        fold.add(ClaimLease(FLEET, 'a', -1), writer='a')
        fold.add(order(fence=1, version=1), writer='a')
        fold.add(order(fence=1, version=1, role='decode'), writer='a')
        fold.add(OrderDone('verdict-1', 2, 'prefill'), writer='agent')
        self.assertFalse(fold.state.orders['verdict-1'].done)
        fold.add(OrderDone('verdict-1', 3, 'decode'), writer='agent')
        self.assertTrue(fold.state.orders['verdict-1'].done)
