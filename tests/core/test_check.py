"""Checks of a configuration, and of the examples in the repository."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from unittest import TestCase

import msgspec

from sesamepoint_core.config.check import check_configuration
from sesamectl.commands.check import load_configuration
from tests.builders import configuration, engine, runner

EXAMPLES = Path(__file__).parents[2] / 'examples'


def problems(**changes: Any) -> tuple[str, ...]:
    """Return the problems found in a changed configuration."""
    return check_configuration(msgspec.json.encode(configuration(**changes)))


class CheckTest(TestCase):
    """Each problem is one line with the path and the remedy."""

    def test_good_configuration(self) -> None:
        self.assertEqual(problems(), ())

    def test_unknown_key(self) -> None:
        self.assertEqual(
            problems(colour='red'),
            ("colour: Extra inputs are not permitted, found 'red'; remove it, or mend its spelling",),
        )

    def test_missing_fleet(self) -> None:
        runners = {'verdict-1': runner(1, fleet='other')}
        self.assertEqual(
            problems(runners=runners), ("runners.verdict-1.fleet: no fleet 'other'; use one of: verdict-llm",)
        )

    def test_duplicate_agent(self) -> None:
        runners = {'verdict-1': runner(1), 'verdict-2': runner(1)}
        self.assertIn('also the agent of verdict-1', problems(runners=runners)[0])

    def test_floors_above_size(self) -> None:
        fleet = {'kind': 'engine', 'models': [], 'floors': {'prefill': 3}, 'roles': {}, 'engine': engine()}
        self.assertIn('lower them', problems(fleets={'verdict-llm': fleet})[0])

    def test_examples_are_good(self) -> None:
        for user, deployment in (('himal', 'boat-bazaar'), ('qalin', 'carpet-booking')):
            with self.subTest(user=user):
                self.assertEqual(load_configuration(EXAMPLES / user / 'configuration.json')[0], deployment)
