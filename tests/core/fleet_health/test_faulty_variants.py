"""Ejection by reports that are late, doubled, old or of an instance with a bad link.

In none of the situations may a sound runner be ejected. Each faulty variant of the decision
lacks one safeguard, and ejects it.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

from sesamepoint_core.fleet_health import evidence
from sesamepoint_core.fleet_health.reports import Counts, NewlyReported, PeerWindow, RunnerReport
from sesamepoint_core.fleet_health.runner_health import RunnerHealth
from tests.core.fleet_health.builders import TTL_S, report

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = range(20)
STEPS = 40
STEP_S = 0.1
# Least time between two failures of which at most two are recent, in seconds.
OLD_FAILURES_S = evidence.EVIDENCE_S / 2


def ejected_by_bad_link(rng: Random) -> bool:
    """Tell whether growing failures of one peer, reported late and several times, eject a runner."""
    return _ejected_by_one_peer(rng, failing_s=())


def ejected_by_chance_failure(rng: Random) -> bool:
    """Tell whether a bad link of one peer and two failures of another one, over 2 s apart, eject a runner."""
    return _ejected_by_one_peer(rng, failing_s=(1.0, 3.1))


def ejected_by_duplicates(rng: Random) -> bool:
    """Tell whether one failure of each of two peers, reported several times in any order, ejects a runner."""
    health = RunnerHealth()
    sent = [(peer, report(failures=1)) for peer in ('front-2', 'front-3') for _ in range(4)]
    rng.shuffle(sent)
    for step, (peer, row) in enumerate(sent):
        # The last ones come after the expiry of the first.
        health.take_report(peer, row, 10 + step * TTL_S / 6, TTL_S)
    return health.half_open.ejected


def ejected_by_old_failures(rng: Random) -> bool:
    """Tell whether failures that are each seconds apart eject a runner."""
    health = RunnerHealth()
    now: float = 10
    for number in range(4):
        health.take_report(f'front-{number}', report(failures=1), now, TTL_S)
        now += OLD_FAILURES_S + rng.random()
    return health.half_open.ejected


def _ejected_by_one_peer(rng: Random, failing_s: tuple[float, ...]) -> bool:
    health = RunnerHealth()
    sent: list[RunnerReport] = []
    chance_failures = 0
    for step in range(STEPS):
        now = 10 + step * STEP_S
        sent.append(report(step // 5, failures=1 + step % 5))
        for row in (sent[-1], rng.choice(sent)):
            health.take_report('front-2', row, now, TTL_S)
        health.note_success(now)
        if any(10 + at <= now < 10 + at + STEP_S for at in failing_s):
            chance_failures += 1
            health.take_report('front-3', report(failures=chance_failures), now, TTL_S)
    return health.half_open.ejected


def ejections(situation: Callable[[Random], bool]) -> int:
    """Return for how many seeds a situation ejects the runner."""
    return sum(situation(Random(seed)) for seed in SEEDS)


class SoundRunnerTest(TestCase):
    """The decision as it is."""

    def test_sound_runner_stays(self) -> None:
        """Guards against the ejection of a sound runner by bad links, chance, duplicates and old reports."""
        for situation in (
            ejected_by_bad_link,
            ejected_by_chance_failure,
            ejected_by_duplicates,
            ejected_by_old_failures,
        ):
            with self.subTest(situation=situation.__name__):
                self.assertEqual(ejections(situation), 0)


class FaultyVariantTest(TestCase):
    """Faulty variants, which must eject the sound runner."""

    def test_one_reporter_is_enough(self) -> None:
        """Without a least number of reporters one bad link ejects a runner for all."""
        with patch.object(evidence, 'MIN_REPORTERS', 1), patch.object(evidence, 'MAX_FAILURES_OF_REPORTER', STEPS):
            self.assertGreater(ejections(ejected_by_bad_link), 0)

    def test_all_failures_of_a_reporter(self) -> None:
        """Without a bound on one reporter's failures a bad link and a chance failure eject a runner."""
        with patch.object(evidence, 'MAX_FAILURES_OF_REPORTER', STEPS):
            self.assertGreater(ejections(ejected_by_chance_failure), 0)

    def test_counts_duplicates(self) -> None:
        """Without memory of what was counted, duplicates eject a runner."""

        def all_counted(window: PeerWindow, row: RunnerReport, now: float, ttl_s: float) -> NewlyReported:
            return NewlyReported(Counts(row.successes, row.failures), row.probe)

        with patch.object(PeerWindow, 'take', all_counted):
            self.assertGreater(ejections(ejected_by_duplicates), 0)

    def test_forgets_expired_windows(self) -> None:
        """Without the counts of expired reports, a duplicate of one ejects a runner."""
        take = PeerWindow.take

        def forgetful(window: PeerWindow, row: RunnerReport, now: float, ttl_s: float) -> NewlyReported | None:
            if not window.live(now):
                window._report = None
            return take(window, row, now, ttl_s)

        with patch.object(PeerWindow, 'take', forgetful):
            self.assertGreater(ejections(ejected_by_duplicates), 0)

    def test_evidence_for_ever(self) -> None:
        """Without an end of evidence, single failures over a long time eject a runner."""
        with patch.object(evidence, 'EVIDENCE_S', 1e9):
            self.assertGreater(ejections(ejected_by_old_failures), 0)
