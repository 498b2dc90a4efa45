"""Placement of requests at prefill and decode engines."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.serving.placement import Placement, best_placement
from tests.core.serving.builders import FAST, SLOW, decode, prefill


def best(*views: object, speeds: object = FAST, tokens: int = 17_000) -> Placement:
    """Return the best placement; there must be one."""
    path = best_placement(views, speeds, tokens)  # type: ignore[arg-type]
    assert path is not None
    return path


class BestPlacementTest(TestCase):
    """The placement of least cost."""

    def test_no_engine_decodes(self) -> None:
        self.assertIsNone(best_placement([prefill('p', 100)], FAST, 100))

    def test_long_prompt_not_cached(self) -> None:
        """No engine has any block cached: the prefill runs where it takes half the time."""
        path = best(prefill('p', 17_000), decode('d', 17_000))
        self.assertEqual((path.prefill, path.decode), ('p', 'd'))

    def test_long_prompt_cached(self) -> None:
        """A decode engine has the shared block cached: 500 tokens there beat 17,000 elsewhere."""
        path = best(prefill('p', 17_000), decode('d1', 17_000), decode('d2', 500))
        self.assertEqual((path.prefill, path.decode), ('', 'd2'))

    def test_short_prompt(self) -> None:
        """A remote prefill takes longer than a prefill of 300 tokens at half the speed."""
        path = best(prefill('p', 300), decode('d', 300), tokens=300)
        self.assertEqual((path.prefill, path.decode), ('', 'd'))

    def test_prefill_engine_busy(self) -> None:
        path = best(prefill('p', 3_000, wait_s=0.5), decode('d', 3_000))
        self.assertEqual(path.prefill, '')

    def test_streams_disturbed(self) -> None:
        """A prefill of half a second would make a dozen streams late; waiting is cheaper."""
        busy = prefill('p', 9_000, wait_s=0.7)
        self.assertEqual(best(busy, decode('d', 9_000, streams=12), speeds=SLOW).prefill, 'p')
        self.assertEqual(best(busy, decode('d', 9_000, streams=0), speeds=SLOW).prefill, '')

    def test_decode_avoids_prefill(self) -> None:
        """A request with a remote prefill is decoded where no prefill is running."""
        path = best(prefill('p', 17_000), decode('d1', 17_000, wait_s=0.3), decode('d2', 17_000, order=1))
        self.assertEqual(path.decode, 'd2')

    def test_decode_steps_gather(self) -> None:
        """Among idle engines the first in order takes these requests; the others keep their blocks."""
        path = best(prefill('p', 17_000), decode('d1', 17_000, order=1), decode('d2', 17_000, order=0))
        self.assertEqual(path.decode, 'd2')

    def test_decode_stays_in_zone(self) -> None:
        """A transfer to another zone takes twice as long; it pays only if the engines of this zone are busy."""
        prefill_engine = prefill('p', 60_000, zone='a')
        far = decode('d1', 60_000, zone='b')
        self.assertEqual(best(prefill_engine, far, decode('d2', 60_000, zone='a'), tokens=60_000).decode, 'd2')
        busy = decode('d2', 60_000, zone='a', wait_s=0.3)
        self.assertEqual(best(prefill_engine, far, busy, tokens=60_000).decode, 'd1')

    def test_lost_answers(self) -> None:
        """An engine that loses every fourth answer is used only if the wait elsewhere is long enough."""
        speeds = FAST._replace(lost_cost_s=1.6)
        faulty = decode('d1', 300, lost_share=0.25)
        self.assertEqual(best(faulty, decode('d2', 300, wait_s=0.3), speeds=speeds, tokens=300).decode, 'd2')
        self.assertEqual(best(faulty, decode('d2', 300, wait_s=0.6), speeds=speeds, tokens=300).decode, 'd1')

    def test_memory_full(self) -> None:
        path = best(decode('d1', 300, crowded=True), decode('d2', 9_000), tokens=9_000)
        self.assertEqual(path.decode, 'd2')

    def test_fetch_beats_prefill(self) -> None:
        """Fetching 13,000 tokens is quicker than a prefill of them."""
        path = best(prefill('p1', 17_000), prefill('p2', 4_000, fetch_tokens=13_000), decode('d', 17_000))
        self.assertEqual(path.prefill, 'p2')
