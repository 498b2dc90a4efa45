"""A short soak test of real processes, by fixed seeds."""

from __future__ import annotations

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import TestCase

import trio

from sesamepoint_standins.platform.processes import ready, running_processes
from tests.front.builders import configuration
from tests.front.soak import FRONTS, Soak, play

# Add each seed that fails, with a line on the cause.
SEEDS = (1, 2)
LENGTH_S = 4.0


class SoakTest(TestCase):
    """Fronts that are killed, stopped, frozen and reloaded, with faulty connections."""

    def test_seeds_kept(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(trio.run(play, seed, LENGTH_S), [])

    def test_reload_of_a_start(self) -> None:
        """A front gets the signal to reload its settings just as it is restarted.

        The signal ends it, since its handler is not installed yet. Guards against a harness
        that waits for it instead of restarting it, as the platform does; seed 2 showed that
        once, beside other runs.
        """
        self.assertTrue(trio.run(_reload_a_start))


async def _reload_a_start() -> bool:
    with TemporaryDirectory() as folder:
        async with running_processes(configuration(), Path(folder), FRONTS) as bed:
            bed.fronts[0].process.kill()
            await bed.fronts[0].process.wait()
            front = await bed.restart_front(0)
            await Soak(bed, Random(1)).reload_front(0)  # type: ignore[arg-type]
            await bed.until_ready(front)
            return await ready(front)
