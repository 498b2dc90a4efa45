"""Decisions on the runners that stay in use, on the choice among them, and on who probes and reports."""

from __future__ import annotations

from collections import Counter
from random import Random
from unittest import TestCase

import msgspec

from sesamepoint_core.fleet_health.kept_runners import RunnerLoad, kept_runners
from sesamepoint_core.fleet_health.plain_placement import PLACEMENT_METHODS, PlainCandidate, least_cost, least_own
from sesamepoint_core.fleet_health.prober import MAX_RANK, probe_rank
from sesamepoint_core.fleet_health.report_pacing import MAX_RECEIVED_BYTES_S, report_interval_s
from sesamepoint_core.fleet_health.reports import ProbeState
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint.front.fleet_health.health_messages import MAX_ROWS, RunnerHealthMessage
from tests.core.fleet_health.builders import report

# Payload of a UDP datagram that fits into one packet of most links.
PACKET_BYTES = 1400
LOST_COST_S = 1.456
CHOICES = 3000


class KeptRunnersTest(TestCase):
    """Failing runners that stay in use."""

    def test_others_carry_the_load(self) -> None:
        """Guards against a failing runner that stays in use although two others carry the load."""
        healthy = [RunnerLoad(f'h{number}', 6, 1.5) for number in range(2)]
        self.assertEqual(kept_runners(healthy, [RunnerLoad('f', 6, 1, 0.9)]), [])

    def test_others_can_t_carry_the_load(self) -> None:
        """Guards against healthy runners that are overloaded because all failing ones are ejected."""
        failing = [RunnerLoad('worse', 6, 4, 0.9), RunnerLoad('better', 6, 4, 0.3)]
        self.assertEqual(kept_runners([RunnerLoad('h', 6, 4.5)], failing[1:]), ['better'])
        self.assertEqual(kept_runners([RunnerLoad('h', 6, 2)], failing), ['better', 'worse'])

    def test_unreachable_runner_not_kept(self) -> None:
        """Guards against requests to a runner that answers nothing, because the others are full."""
        failing = [RunnerLoad('f', 6, 4, 1, answers=False)]
        self.assertEqual(kept_runners([RunnerLoad('h', 6, 6)], failing), [])

    def test_all_fail(self) -> None:
        """Guards against a service without any runner in use; the least failing one is better than none."""
        failing = [RunnerLoad('a', 6, 1, 0.9), RunnerLoad('b', 6, 1, 0.4), RunnerLoad('c', 6, 1, 0.1, answers=False)]
        self.assertEqual(kept_runners([], failing), ['b'])
        self.assertEqual(kept_runners([], failing[2:]), ['c'])


class PlainPlacementTest(TestCase):
    """Choice among plain runners."""

    def test_methods_registered(self) -> None:
        """Guards against a method that can no longer be chosen for comparison."""
        self.assertEqual(set(PLACEMENT_METHODS), {'own', 'shared'})

    def test_own_requests_only(self) -> None:
        """Guards against a change of the existing method, which knows the requests of this instance only."""
        candidates = [PlainCandidate('a', 6, 2), PlainCandidate('b', 6, 1, peers_in_flight=9)]
        self.assertEqual(least_own(candidates, LOST_COST_S, Random(1)).runner, 'b')

    def test_full_runner_avoided(self) -> None:
        """Guards against requests to a runner whose slots are taken by the requests of peers."""
        candidates = [PlainCandidate('a', 6, 0, 9), PlainCandidate('b', 6, 1, 2)]
        self.assertEqual(least_cost(candidates, LOST_COST_S, Random(1)).runner, 'b')

    def test_not_all_to_the_emptiest(self) -> None:
        """Guards against all instances choosing the same runner, by the same reports, until the next ones."""
        candidates = [PlainCandidate(name, 6, 0, load) for name, load in (('a', 2), ('b', 3), ('c', 4))]
        rng = Random(1)
        chosen = Counter(least_cost(candidates, LOST_COST_S, rng).runner for _ in range(CHOICES))
        self.assertLess(chosen['a'], 0.5 * CHOICES)
        self.assertGreater(chosen['c'], 0.15 * CHOICES)

    def test_failing_runner_avoided(self) -> None:
        """Guards against the loss of non-idempotent requests at a runner that has begun to fail."""
        candidates = [
            PlainCandidate('a', 6, 0, 0, failure_share=0.15, response_s=0.072),
            PlainCandidate('b', 6, 1, 2, response_s=0.072),
            PlainCandidate('c', 6, 1, 2, response_s=0.072),
        ]
        rng = Random(1)
        self.assertNotIn('a', {least_cost(candidates, LOST_COST_S, rng).runner for _ in range(CHOICES)})

    def test_failing_runner_used_under_load(self) -> None:
        """Guards against a small risk of failure that overloads all other runners."""
        candidates = [
            PlainCandidate('a', 6, 0, 0, failure_share=0.15, response_s=0.072),
            PlainCandidate('b', 6, 1, 4, response_s=0.072),
        ]
        self.assertEqual(least_cost(candidates, LOST_COST_S, Random(1)).runner, 'a')


class ProberTest(TestCase):
    """Which instance probes."""

    def test_one_first_for_each_runner(self) -> None:
        """Guards against two instances that both probe first, and one that probes all runners."""
        instances = [f'front-{number}' for number in range(30)]
        first: Counter[str] = Counter()
        for number in range(60):
            ranks = {
                name: probe_rank(Incarnation(f'i-{number}', 1), name, set(instances) - {name}) for name in instances
            }
            self.assertEqual(sum(rank == 0 for rank in ranks.values()), 1)
            self.assertLessEqual(max(ranks.values()), MAX_RANK)
            first.update(name for name, rank in ranks.items() if not rank)
        self.assertGreater(len(first), 15)


class ReportSizeTest(TestCase):
    """Size and number of reports."""

    def test_fits_into_one_packet(self) -> None:
        """Guards against messages that are lost with any one of several packets."""
        row = report(
            99,
            successes=999,
            failures=99,
            connect_failures=9,
            rejections=9,
            in_flight=9.999,
            response_s=0.123,
            probe=ProbeState.passed,
            incarnation=Incarnation('i-0123456789abcdef0', 1_700_000_000_000),
        )
        message = RunnerHealthMessage('front-0123456789abcdef0', (row,) * MAX_ROWS)
        self.assertLess(len(msgspec.msgpack.encode(message)), PACKET_BYTES)

    def test_received_bytes_bounded(self) -> None:
        """Guards against reports that fill the link of an instance, with any number of instances."""
        for peers in (4, 29, 349, 3000):
            for message_bytes in (120, 400, PACKET_BYTES):
                received = peers * message_bytes / report_interval_s(peers, message_bytes)
                self.assertLess(received, MAX_RECEIVED_BYTES_S)
