"""Detection of an outage of the store, and the turns at probing it."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from sesamepoint_core.store_pacing.backoff import RetryLimits
from sesamepoint_core.store_pacing.outage import CONFIRMING_INSTANCES, FIXED_SHARE, FRESH_S, StoreOutage

INTERVALS = RetryLimits(0.2, 0.75)
NOW = 100.0
INSTANCES = 30
PEERS = ('e1', 'e2', 'e3')


def new_outage() -> StoreOutage:
    """Return what the instance e0 knows before any call."""
    return StoreOutage('e0', INTERVALS, Random(1))


def known_outage() -> StoreOutage:
    """Return an outage that peers have confirmed."""
    outage = new_outage()
    for peer in PEERS:
        outage.note_announced(peer, NOW, INSTANCES)
    return outage


class DetectionTest(TestCase):
    """Whether the store counts as down."""

    def test_refused_instance_alone(self) -> None:
        """Guards against an outage seen by one instance that the store refuses, however often it calls."""
        outage = new_outage()
        for call in range(10):
            outage.note_failed(NOW + call, NOW + call, INSTANCES)
        self.assertFalse(outage.is_down(INSTANCES))

    def test_three_failed_instances(self) -> None:
        """Guards against an outage that is never detected, so that all instances call all the while."""
        outage = new_outage()
        self.assertTrue(outage.note_failed(NOW, NOW, INSTANCES))
        outage.note_announced('e1', NOW, INSTANCES)
        self.assertFalse(outage.is_down(INSTANCES))
        outage.note_announced('e1', NOW, INSTANCES)
        self.assertFalse(outage.is_down(INSTANCES))
        outage.note_announced('e2', NOW, INSTANCES)
        self.assertTrue(outage.is_down(INSTANCES))
        self.assertEqual(outage.state(INSTANCES).needed_instances, CONFIRMING_INSTANCES)

    def test_fewer_instances_than_needed(self) -> None:
        """Guards against deployments of one or two instances in which no outage can be confirmed."""
        outage = new_outage()
        outage.note_failed(NOW, NOW, 1)
        self.assertTrue(outage.is_down(1))

    def test_answer_to_a_peer(self) -> None:
        """Guards against an outage that lasts in the view of instances which the store did not answer themselves."""
        outage = known_outage()
        outage.note_peer_answered(NOW + 1)
        self.assertFalse(outage.is_down(INSTANCES))

    def test_failure_soon_after_an_answer(self) -> None:
        """Guards against refused instances that together report an outage while peers are answered."""
        outage = new_outage()
        outage.note_peer_answered(NOW)
        self.assertFalse(outage.note_failed(NOW + FRESH_S / 2, NOW + FRESH_S, INSTANCES))
        self.assertTrue(outage.note_failed(NOW + FRESH_S, NOW + FRESH_S, INSTANCES))


class ProbeTest(TestCase):
    """When an instance may probe the store."""

    def test_announced_probe_delays_others(self) -> None:
        """Guards against probes of all instances at the same time."""
        outage = known_outage()
        outage.note_announced('e7', NOW + 1, INSTANCES)
        self.assertGreater(outage.probe_at, NOW + 1)

    def test_delay_limited(self) -> None:
        """Guards against a return of the store that no instance notices in time."""
        outage = known_outage()
        for probe in range(50):
            outage.note_announced(f'e{probe}', NOW, INSTANCES)
            self.assertLessEqual(outage.probe_at, NOW + INTERVALS.longest_s)
        self.assertGreaterEqual(outage.probe_at, NOW + FIXED_SHARE * INTERVALS.longest_s)

    def test_same_peers_announce_all_the_while(self) -> None:
        """Guards against peers that announce probes without end and never let this instance call the store."""
        outage = known_outage()
        now = NOW
        while now < outage.probe_at and now < NOW + 10:
            for peer in PEERS:
                outage.note_announced(peer, now, INSTANCES)
            now += 0.05
        self.assertLess(now, NOW + 2 * INTERVALS.longest_s)

    def test_announcements_before_confirmation(self) -> None:
        """Guards against one refused instance whose announcements keep the others from calling."""
        outage = new_outage()
        for _ in range(10):
            outage.note_announced('e1', NOW, INSTANCES)
        self.assertEqual(outage.probe_at, 0)

    def test_answered_instance_goes_on(self) -> None:
        """Guards against an instance that has found the store back and leaves its other topics unread."""
        outage = known_outage()
        outage.note_answered(NOW)
        self.assertEqual(outage.probe_at, 0)
