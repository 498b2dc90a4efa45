"""Runs on virtual time repeat themselves."""

from __future__ import annotations

from unittest import TestCase

from sesamectl.commands.experiment import trial_of
from sesamectl.experiment.run import run_trial


class RepeatTest(TestCase):
    """One seed, one course of events."""

    def test_trial_repeats(self) -> None:
        # Two runs of one experiment differed in a few answers: trio shuffles
        # tasks that are ready together, from a source nobody had seeded.
        trial = trial_of('himal', 'swing-2min', 'default', 3)
        trial.scenario['duration_s'] = 60.0
        first, second = (run_trial(trial) for _ in range(2))
        self.assertEqual(
            [(ended.arrival.at, ended.took_s) for ended in first.ended],
            [(ended.arrival.at, ended.took_s) for ended in second.ended],
        )
