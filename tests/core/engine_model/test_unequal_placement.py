"""Placement on engines of unequal speed."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.serving.placement import EngineView, best_placement, slower_idle_placement
from tests.core.serving.builders import FAST, decode, prefill

ON_TIME = FAST._replace(on_time_s=0.563)
MAX_WAIT_S = 0.1
FAST_FACTOR = 0.625
SLOW_FACTOR = 1.67


def slow_prefill(wait_s: float = 0) -> EngineView:
    """Return a prefill engine of speed 0.6."""
    return prefill('slow', 17_000, wait_s=wait_s, pace=SLOW_FACTOR, prefill_factor=SLOW_FACTOR)


def fast_prefill(wait_s: float = 0) -> EngineView:
    """Return a prefill engine of speed 1.6."""
    return prefill('fast', 17_000, wait_s=wait_s, pace=FAST_FACTOR, prefill_factor=FAST_FACTOR)


def chosen_decoder(pause_s: float, *, slow_order: int = 0) -> str:
    """Return the decode engine for a route with a pause limit; the pause of the slow engine is 0.14 s."""
    views = [prefill('p', 17_000), decode('slow', 17_000, plain_pause_s=0.14, order=slow_order)]
    views.append(decode('usual', 17_000, order=1 - slow_order))
    placement = best_placement(views, ON_TIME._replace(pause_s=pause_s), 17_000)
    return placement.decode if placement else ''


class UnequalPlacementTest(TestCase):
    """A slow engine gets the work that fits it."""

    def test_slow_engine_long_pauses_allowed(self) -> None:
        """Guards against a slow engine that gets no answers whose pause limit it keeps."""
        self.assertEqual(chosen_decoder(0.3), 'slow')

    def test_slow_engine_short_pauses_only(self) -> None:
        """Guards against answers at an engine whose steps alone exceed their pause limit."""
        self.assertEqual(chosen_decoder(0.15), 'usual')

    def test_idle_engines(self) -> None:
        """Guards against a slow engine that is chosen while a fast one is idle."""
        placement = best_placement([slow_prefill(), fast_prefill(), decode('d', 17_000)], ON_TIME, 17_000)
        self.assertEqual(placement and placement.prefill, 'fast')

    def test_slow_idle_engine_enough_time(self) -> None:
        """Guards against a prompt that queues for a busy fast engine while a slow one could answer it on time."""
        views = [slow_prefill(), fast_prefill(0.12), decode('d', 17_000)]
        idle = slower_idle_placement(views, ON_TIME, 17_000, views[1], MAX_WAIT_S)
        self.assertEqual(idle and idle.prefill, 'slow')

    def test_slow_idle_engine_too_little_time(self) -> None:
        """Guards against a prompt that is late at an idle slow engine, and on time after a wait for the fast one."""
        views = [slow_prefill(), fast_prefill(0.12), decode('d', 17_000)]
        speeds = ON_TIME._replace(on_time_s=0.35)
        self.assertIsNone(slower_idle_placement(views, speeds, 17_000, views[1], MAX_WAIT_S))

    def test_slow_engine_busy(self) -> None:
        """Guards against a slow engine with work before it that counts as idle."""
        views = [slow_prefill(0.2), fast_prefill(0.12), decode('d', 17_000)]
        self.assertIsNone(slower_idle_placement(views, ON_TIME, 17_000, views[1], MAX_WAIT_S))

    def test_equal_engines_no_other_placement(self) -> None:
        """Guards against a change of decisions where all engines are equal."""
        views = [prefill('p1', 17_000, wait_s=0.12), prefill('p2', 20_000), decode('d', 17_000)]
        self.assertIsNone(slower_idle_placement(views, ON_TIME, 17_000, views[0], MAX_WAIT_S))
