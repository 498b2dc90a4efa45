"""Ejection and return of a runner."""

from __future__ import annotations

from random import Random
from unittest import TestCase
from unittest.mock import patch

from sesamepoint_core.fleet_health.failure_share import FAILURE_SHARE_GAIN
from sesamepoint_core.fleet_health.half_open import (
    MAX_EJECTION_S,
    MIN_EJECTION_S,
    REQUEST_WAIT_S,
    TAKEOVER_S,
    TRIAL_TIMEOUT_S,
    TrialRequest,
)
from sesamepoint_core.fleet_health.reports import PeerWindow, ProbeState
from sesamepoint_core.fleet_health.runner_health import HealthChange, RunnerHealth
from tests.core.fleet_health.builders import TTL_S, report

FAILURES_TO_EJECT = 3
REPEATABLE = TrialRequest(repeatable=True)
ONCE_ONLY = TrialRequest(repeatable=False)


def ejected_health(at: float = 10) -> RunnerHealth:
    """Return the health of a runner that this instance and a peer see failing, ejected just now."""
    health = RunnerHealth()
    health.take_report('front-2', report(failures=2), at, TTL_S)
    health.note_failure(at)
    return health


class OwnEvidenceTest(TestCase):
    """An instance that receives no reports of its peers."""

    def test_eject_and_return(self) -> None:
        """Guards against a failing runner that stays in use, and one that is never tried again."""
        health = RunnerHealth()
        ejected = [health.note_failure(10) for _ in range(FAILURES_TO_EJECT)]
        self.assertEqual(ejected, [False, False, True])
        self.assertFalse(health.admits_trial(10 + MIN_EJECTION_S / 2, REPEATABLE))
        self.assertTrue(health.admits_trial(10 + MIN_EJECTION_S, REPEATABLE))
        health.note_sent(11)
        health.note_success(11.1, 11)
        self.assertTrue(health.eligible(11.1))

    def test_failed_trial_ejects_for_longer(self) -> None:
        """Guards against a runner that gets a request each second although it keeps failing."""
        health = RunnerHealth()
        for _ in range(FAILURES_TO_EJECT):
            health.note_failure(10)
        ticket = health.note_sent(12)
        self.assertTrue(health.note_failure(12, sent_at=12))
        health.note_settled(ticket, 12)
        self.assertFalse(health.admits_trial(12 + MIN_EJECTION_S, REPEATABLE))
        self.assertTrue(health.admits_trial(12 + MAX_EJECTION_S, REPEATABLE))

    def test_eject_alternating_failures(self) -> None:
        """Guards against a runner that stays in use because it never fails three times in a row."""
        health = RunnerHealth()
        ejected = False
        for _ in range(20):
            health.note_success(10)
            ejected = health.note_failure(10) or ejected
        self.assertTrue(ejected)

    def test_sound_runner_stays(self) -> None:
        """Guards against the ejection of a healthy service: one answer in seven fails, at times three in a row."""
        health = RunnerHealth()
        for _ in range(30):
            for _ in range(3):
                self.assertFalse(health.note_failure(10, answered=True))
            for _ in range(18):
                health.note_success(10)

    def test_earlier_answers_do_not_return(self) -> None:
        """Guards against a runner that returns on the answer to a request that was sent before its ejection."""
        health = RunnerHealth()
        for _ in range(FAILURES_TO_EJECT):
            health.note_failure(10)
        health.note_success(11.2, 9)
        self.assertFalse(health.eligible(11.2))
        ticket = health.note_sent(12)
        health.note_success(12.1, 9)
        self.assertFalse(health.eligible(12.1))
        health.note_first_output(ticket, 12.2)
        self.assertTrue(health.eligible(12.2))


class PeerEvidenceTest(TestCase):
    """Failures that peers report."""

    def test_two_reporters_eject(self) -> None:
        """Guards against an instance that sends requests to a runner that two peers see failing."""
        health = RunnerHealth()
        self.assertEqual(health.take_report('front-2', report(failures=2), 10, TTL_S), HealthChange.none)
        self.assertEqual(health.take_report('front-3', report(failures=1), 10, TTL_S), HealthChange.ejected)

    def test_one_reporter_ejects_nothing(self) -> None:
        """Guards against the ejection of a healthy runner because one instance has a bad link to it."""
        health = RunnerHealth()
        for window in range(50):
            health.take_report('front-2', report(window, failures=9), 10 + window / 10, TTL_S)
            self.assertTrue(health.eligible(10 + window / 10))

    def test_bad_link_and_chance_failure(self) -> None:
        """Guards against an ejection by one bad link and a single failure of another instance."""
        health = RunnerHealth()
        for window in range(50):
            health.take_report('front-2', report(window, failures=9), 10 + window / 10, TTL_S)
            health.note_success(10 + window / 10)
        health.note_failure(15)
        self.assertTrue(health.eligible(15))

    def test_duplicates_count_once(self) -> None:
        """Guards against an ejection by reports that arrive several times, or late."""
        health = RunnerHealth()
        first, second = report(failures=1), report(1, failures=1, successes=40)
        health.take_report('front-3', first, 10, TTL_S)
        health.take_report('front-2', second, 10, TTL_S)
        for _ in range(9):
            health.take_report('front-2', first, 10, TTL_S)
            health.take_report('front-2', second, 10, TTL_S)
            health.take_report('front-3', first, 10, TTL_S)
        self.assertTrue(health.eligible(10))

    def test_lost_report_made_up(self) -> None:
        """Guards against failures that never count because the first report of a window was lost."""
        health = RunnerHealth()
        health.note_failure(10)
        self.assertEqual(health.take_report('front-2', report(failures=4), 10, TTL_S), HealthChange.ejected)

    def test_expired_reports_don_t_count(self) -> None:
        """Guards against load and failures that count for ever because their reporter was killed."""
        health = RunnerHealth()
        health.take_report('front-2', report(failures=2, in_flight=4), 10, TTL_S)
        self.assertEqual(health.peers.in_flight(12), 4)
        self.assertEqual(health.peers.in_flight(10 + TTL_S), 0)
        health.take_report('front-3', report(failures=2), 11 + TTL_S, TTL_S)
        self.assertTrue(health.eligible(11 + TTL_S))

    def test_late_report_of_expired_window(self) -> None:
        """Guards against old failures that count again in the next report of their window, after the first expired."""
        health = RunnerHealth()
        health.take_report('front-2', report(failures=2), 10, TTL_S)
        health.take_report('front-2', report(failures=2, successes=1), 11 + TTL_S, TTL_S)
        self.assertFalse(health.note_failure(11 + TTL_S))

    def test_duplicate_of_expired_report(self) -> None:
        """Guards against old failures that count again as an instance that was frozen reads a duplicate."""
        health = RunnerHealth()
        health.take_report('front-2', report(failures=2), 10, TTL_S)
        health.take_report('front-2', report(failures=2), 11 + TTL_S, TTL_S)
        self.assertFalse(health.note_failure(11 + TTL_S))

    def test_bad_link_barely_moves_failure_share(self) -> None:
        """Guards against a sound runner that all avoid for seconds by one bad link and one failure elsewhere."""
        health = RunnerHealth()
        health.note_failure(10)
        share = health.failures.recent
        health.take_report('front-2', report(failures=12), 10, TTL_S)
        self.assertLess(health.failures.recent, share + 2 * FAILURE_SHARE_GAIN)

    def test_work_with_many_peers(self) -> None:
        """Guards against a sum over the reports of all instances for each request."""
        health = RunnerHealth()
        for number in range(350):
            health.take_report(f'front-{number}', report(in_flight=1), 10, TTL_S)
        with patch.object(PeerWindow, 'in_flight', autospec=True, side_effect=PeerWindow.in_flight) as summed:
            for request in range(100):
                self.assertEqual(health.peers.in_flight(10 + request / 1000), 350)
            self.assertLessEqual(summed.call_count, 350)
        with patch.object(PeerWindow, 'response_s', autospec=True, side_effect=PeerWindow.response_s) as averaged:
            for request in range(100):
                health.peers.response_s(10 + request / 1000)
            self.assertLessEqual(averaged.call_count, 350)

    def test_restarted_reporter(self) -> None:
        """Guards against reports that are ignored because the windows of a restarted peer begin at zero."""
        health = RunnerHealth()
        health.take_report('front-2', report(77, in_flight=4), 10, TTL_S)
        health.take_report('front-2', report(0, in_flight=2), 11 + TTL_S, TTL_S)
        self.assertEqual(health.peers.in_flight(11 + TTL_S), 2)


class ProbeTest(TestCase):
    """Return of a runner that all instances have ejected."""

    def test_one_prober_at_a_time(self) -> None:
        """Guards against a trial from each instance, and a runner that no one tries if the prober is killed."""
        health = ejected_health()
        due_at = 10 + MIN_EJECTION_S
        self.assertTrue(health.admits_trial(due_at, REPEATABLE))
        self.assertFalse(health.admits_trial(due_at, REPEATABLE._replace(rank=1)))
        self.assertTrue(health.admits_trial(due_at + TAKEOVER_S, REPEATABLE._replace(rank=1)))

    def test_trial_of_peer_blocks_others(self) -> None:
        """Guards against a second trial while that of a peer is under way, and against waiting for a killed peer."""
        health = ejected_health()
        due_at = 10 + MIN_EJECTION_S
        health.take_report('front-2', report(1, probe=ProbeState.sent), due_at, TTL_S)
        self.assertFalse(health.admits_trial(due_at + TRIAL_TIMEOUT_S / 2, REPEATABLE))
        self.assertTrue(health.admits_trial(due_at + TRIAL_TIMEOUT_S, REPEATABLE))

    def test_first_request_is_idempotent(self) -> None:
        """Guards against the loss of a request that must not be repeated at a runner that has not recovered."""
        health = ejected_health()
        self.assertFalse(health.admits_trial(15, ONCE_ONLY))
        health.note_health_call(15, healthy=True)
        self.assertFalse(health.admits_trial(15, ONCE_ONLY._replace(repeatable_come=True)))
        self.assertTrue(health.admits_trial(15, ONCE_ONLY))
        health.note_sent(15)
        self.assertFalse(health.admits_trial(15.1, ONCE_ONLY))

    def test_health_page_called_if_no_request_came(self) -> None:
        """Guards against a call to the health page ahead of a request that may be repeated."""
        half_open = ejected_health().half_open
        self.assertFalse(half_open.call_due(10 + MIN_EJECTION_S, 0))
        self.assertTrue(half_open.call_due(10.01 + MIN_EJECTION_S + REQUEST_WAIT_S, 0))
        half_open.open(12)
        self.assertFalse(half_open.call_due(13, 0))

    def test_failed_health_call(self) -> None:
        """Guards against trials at a runner whose own health page reports a failure."""
        health = ejected_health()
        health.note_health_call(11.2, healthy=False)
        self.assertFalse(health.admits_trial(11.3, REPEATABLE))

    def test_slow_answers_return(self) -> None:
        """Guards against a runner that never returns, as its answers take longer than the time between trials."""
        health = ejected_health()
        for number in range(4):
            health.note_sent(12 + number * TRIAL_TIMEOUT_S)
        health.note_success(12 + 4 * TRIAL_TIMEOUT_S, 12)
        self.assertFalse(health.half_open.ejected)

    def test_ejection_withdraws_passed_probe(self) -> None:
        """Guards against the return of an ejected runner by the news of a probe before the ejection."""
        health = ejected_health()
        health.note_sent(12)
        health.note_success(12.1, 12)
        self.assertIs(health.own.probe, ProbeState.passed)
        for _ in range(FAILURES_TO_EJECT):
            health.note_failure(12.2)
        self.assertFalse(health.eligible(12.2))
        self.assertIs(health.own.probe, ProbeState.none)

    def test_probe_of_peer_decides(self) -> None:
        """Guards against an instance that keeps a runner ejected, or probes it, after the probe of a peer."""
        for probe, change in (
            (ProbeState.passed, HealthChange.returned),
            (ProbeState.failed, HealthChange.probe_failed),
        ):
            with self.subTest(probe=probe):
                health = ejected_health()
                self.assertEqual(health.take_report('front-2', report(1, probe=probe), 12, TTL_S), change)
                self.assertEqual(health.eligible(12), probe is ProbeState.passed)
                self.assertFalse(health.admits_trial(12, REPEATABLE))

    def test_recovered_runner_used_in_time(self) -> None:
        """Guards against a longest ejection that leaves a recovered runner out of use for over 2 s."""
        self.assertLess(MAX_EJECTION_S + REQUEST_WAIT_S, 1.8)


class BusyRunnerTest(TestCase):
    """A runner with 30 instances, 30 requests a second, of which a tenth fail because of the requests themselves."""

    def test_few_failures_of_many_requests(self) -> None:
        """Guards against ejecting a working runner, since failures are reported at once and successes each 2 s."""
        health = RunnerHealth()
        rng = Random(1)
        counts = {f'front-{number}': [0, 0] for number in range(30)}
        changes = set()
        for step in range(600):
            now = 10 + step / 30
            peer = rng.choice(sorted(counts))
            failed = rng.random() * 10 < 1
            counts[peer][failed] += 1
            # Each instance reports its successes in turn, once in 2 s.
            reporters = {f'front-{(step // 2) % 30}', *((peer,) if failed else ())}
            for name in sorted(reporters):
                successes, failures = counts[name]
                row = report(successes=successes, failures=failures, in_flight=0.072, response_s=0.072)
                changes.add(health.take_report(name, row, now, TTL_S))
        self.assertEqual(changes, {HealthChange.none})
