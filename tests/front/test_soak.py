"""A short soak of real processes, by fixed seeds."""

from __future__ import annotations

from unittest import TestCase

import trio

from tests.front.soak import play

# Seeds that failed once are added here, each with a line on the cause.
SEEDS = (1, 2)
LENGTH_S = 4.0


class SoakTest(TestCase):
    """Fronts that are killed, stopped, frozen and reloaded behind faulty connections."""

    def test_seeds_kept(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(trio.run(play, seed, LENGTH_S), [])
