"""Lag of an instance, and admission by it."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.instance_room.lag import FLOOR_S, INTERVAL_S, SLOT_S, LagMeter, StandingDelay
from sesamepoint_core.instance_room.lag_admission import LagForecast, RunnerTimes, link_wait_s
from sesamepoint_core.instance_room.lagging_peers import (
    REPORT_INTERVAL_S,
    REPORT_PEERS,
    LaggingPeers,
    report_recipients,
)
from tests.core.instance_room.compare_admission import LOADS, mean_worth, run_load
from tests.core.instance_room.processor_model import Model, NoAdmission, SojournAdmission, SojournAlone

SEEDS = range(1, 5)
# Largest loss that a deployment without need may have.
MAX_LOSS = 0.03


class StandingDelayTest(TestCase):
    """Delays that stand, and single ones."""

    def test_single_long_delay_is_no_lag(self) -> None:
        """Guards against refusals after one long step of the loop, which delays many requests at once."""
        delay = StandingDelay()
        for number in range(20):
            delay.note(0.4, 1 + number / 1000)
        self.assertEqual(delay.standing_s(1.02), 0)
        for number in range(10):
            delay.note(0.001, 1.1 + number / 20)
            self.assertEqual(delay.standing_s(1.1 + number / 20), 0)

    def test_least_slot_stands(self) -> None:
        """Guards against a lag that is missed because single requests are fast, or judged by its worst sample."""
        delay = StandingDelay()
        for slot, slot_s in enumerate((0.4, 0.2, 0.3, 0.2)):
            for sample_s in (0, 2 * slot_s):
                delay.note(sample_s, (slot + 0.5) * SLOT_S)
        self.assertAlmostEqual(delay.standing_s(4 * SLOT_S), 0.2)

    def test_forgotten_without_samples(self) -> None:
        """Guards against refusals that never end, because a refused request gives no sample."""
        delay = StandingDelay()
        for number in range(40):
            delay.note(0.1, 1 + number * INTERVAL_S / 20)
        self.assertEqual(delay.standing_s(1 + 4 * INTERVAL_S), 0)


class LagMeterTest(TestCase):
    """Both signs of lag together."""

    def test_late_sends_alone_are_no_lag(self) -> None:
        """Guards against refusals for lag while requests wait for runners and the process is idle."""
        meter = LagMeter()
        for number in range(40):
            now = 1 + number * INTERVAL_S / 20
            meter.note_sojourn(0.5, now)
            meter.note_wake_up(FLOOR_S / 10, now)
        self.assertEqual(meter.lag_s(now), 0)

    def test_late_wake_ups_and_sends_are_lag(self) -> None:
        """Guards against a lag that is not noticed within a few hundred milliseconds."""
        meter = LagMeter()
        for number in range(22):
            now = 1 + number * INTERVAL_S / 20
            meter.note_sojourn(0.2, now)
            meter.note_wake_up(0.1, now)
        self.assertAlmostEqual(meter.lag_s(now), 0.2)


class ForecastTest(TestCase):
    """Which requests are late because of this instance."""

    def test_late_by_own_lag_only(self) -> None:
        """Guards against refusing requests that are on time, or late because of their runners."""
        for lag_s, runner_s, late in ((0.2, 0.1, True), (0.1, 0.1, False), (0.2, 0.3, False), (0.01, 0.26, False)):
            with self.subTest(lag_s=lag_s, runner_s=runner_s):
                self.assertIs(LagForecast(0.27, 0.27, lag_s, 0, runner_s).late_by_own_lag(), late)

    def test_link_queue_counts(self) -> None:
        """Guards against accepting a body that waits behind others on the link until it is late."""
        wait_s = link_wait_s(60_000, 300_000, 5, 625_000)
        self.assertAlmostEqual(wait_s, 0.48)
        self.assertTrue(LagForecast(0.5, 0.5, 0, wait_s, 0.1).late_by_own_lag())

    def test_small_body_waits_for_its_size_only(self) -> None:
        """Guards against refusing short prompts for long bodies, which are sent in turns with them."""
        self.assertLess(link_wait_s(1000, 300_000, 5, 625_000), 0.01)

    def test_runner_times_by_route(self) -> None:
        """Guards against times of one route that decide about another one."""
        times = RunnerTimes()
        times.note('tag', 0.1)
        times.note('verdict', 0.6)
        self.assertEqual((times.expected_s('tag'), times.expected_s('card')), (0.1, 0))
        times.keep_only(frozenset(('verdict',)))
        self.assertEqual(times.expected_s('tag'), 0)


class LaggingPeersTest(TestCase):
    """Reports of lagging peers."""

    def test_share_of_many_instances(self) -> None:
        """Guards against a wrong share where each instance gets reports of a few of its peers only."""
        names = [f'front-{number}' for number in range(1, 31)]
        lagging = names[1:16]
        known = LaggingPeers()
        for turn in range(1, 101):
            for index, name in enumerate(lagging):
                peers = [peer for peer in names if peer != name]
                if 'front-1' in report_recipients(peers, turn + index):
                    known.note_report(turn * REPORT_INTERVAL_S)
        self.assertAlmostEqual(known.share(29, 100 * REPORT_INTERVAL_S), 15 / 29, delta=0.25)

    def test_reports_expire(self) -> None:
        """Guards against peers that count as lagging long after a burst."""
        known = LaggingPeers()
        for _ in range(REPORT_PEERS):
            known.note_report(1)
        self.assertFalse(known.others_have_room(5, 1.1))
        self.assertTrue(known.others_have_room(5, 3))

    def test_nobody_else_to_serve(self) -> None:
        """Guards against refusals by the only instance, whose callers have nowhere else to go."""
        self.assertFalse(LaggingPeers().others_have_room(0, 1))

    def test_each_peer_gets_reports(self) -> None:
        """Guards against peers that never hear of a lagging instance."""
        names = [str(number) for number in range(29)]
        reached = {name for turn in range(4) for name in report_recipients(names, turn)}
        self.assertEqual(reached, set(names))


class AdmissionTest(TestCase):
    """Six instances with a model of their processors."""

    def test_full_instance_gains_beside_idle_ones(self) -> None:
        """Guards against an instance that serves all its requests late while five others have room.

        Load: 0.4 and 2 times the capacity of one instance of 0.12 of a core, in turns of 2.8 s.
        """
        load = LOADS['one small instance of six is full']
        before, _ = mean_worth(load, NoAdmission, SEEDS)
        after, _ = mean_worth(load, SojournAdmission, SEEDS)
        self.assertGreater(after, before + 0.03)

    def test_no_harm_while_all_are_full(self) -> None:
        """Guards against refusals that come back as retries to instances that are full as well.

        Load: all instances at 1.3 times their capacity in turns of 2.8 s. Without
        the reports of peers three quarters of the worth were lost.
        """
        for name in ('all are full', 'five of six are full'):
            with self.subTest(name):
                before, _ = mean_worth(LOADS[name], NoAdmission, SEEDS)
                after, _ = mean_worth(LOADS[name], SojournAdmission, SEEDS)
                alone, _ = mean_worth(LOADS[name], SojournAlone, SEEDS)
                self.assertGreater(after, before - MAX_LOSS)
                self.assertLess(alone, before - MAX_LOSS)

    def test_nothing_refused_at_normal_load(self) -> None:
        """Guards against refusals by instances at 0.6 of their capacity."""
        _, refused = mean_worth(LOADS['all at 0.6, large'], SojournAdmission, SEEDS)
        self.assertEqual(refused, 0)

    def test_single_stall_refuses_nothing(self) -> None:
        """Guards against refusals after one step of 0.4 s, as for a large configuration or a garbage collection."""
        load = LOADS['all at 0.6, large']
        model = Model(load.shares, SojournAdmission, 1)
        model.offer(lambda now: 0.7 * load.rate(now), 20)
        model.stall(0, 5.0, 0.4)
        self.assertEqual(sum(model.run(25).refusals), 0)

    def test_all_callers_served(self) -> None:
        """Guards against refused callers that are refused again at their retry."""
        summary = run_load(LOADS['one small instance of six is full'], SojournAdmission, 1)
        self.assertGreater(sum(summary.refusals), 0)
        self.assertGreater(summary.served, 0.999)
