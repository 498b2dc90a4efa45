"""Models of an engine: load, KV cache, speed, health."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.serving.engine_load import EngineLoad, PrefillWork, Stream
from sesamepoint_core.serving.health import SILENCE_TIMEOUT_S, RunnerSilence
from sesamepoint_core.serving.kv_cache import BLOCK_MEMORY_SHARE, CacheModel
from sesamepoint_core.serving.speed_meters import PauseMeter, PrefillSpeed, PrefillSpeedMeter
from tests.core.serving.builders import blocks

# The faster of the known engines, as fitted to some hundred prefills there.
TRUE_SPEED = PrefillSpeed(0.036, 1 / 112_000, 0.2e-9)


class EngineLoadTest(TestCase):
    """Prompts and answers in progress."""

    def test_wait_shrinks_with_time(self) -> None:
        load = EngineLoad()
        load.add_prefill('a', PrefillWork(0.2, 10))
        self.assertAlmostEqual(load.wait_s(10), 0.2)
        self.assertAlmostEqual(load.wait_s(10.15), 0.05)
        load.end_prefill('a', 10.2)
        self.assertEqual(load.wait_s(10.2), 0)

    def test_wait_for_all_that_was_sent(self) -> None:
        """Engines prefill in the order of arrival, whatever the priority."""
        load = EngineLoad()
        load.add_prefill('begun', PrefillWork(0.2, 10))
        load.add_prefill('waits', PrefillWork(0.5, 10))
        self.assertAlmostEqual(load.wait_s(10), 0.7)

    def test_wait_end_not_received(self) -> None:
        """The instance that sent the work has failed; the work must not count for ever."""
        load = EngineLoad()
        load.add_prefill('a', PrefillWork(0.1, 10))
        self.assertEqual(load.wait_s(12), 0)

    def test_streams_counted_until_finished(self) -> None:
        load = EngineLoad()
        load.add_stream('a', Stream(1000, 10))
        load.add_stream('b', Stream(500, 10))
        load.end_stream('a')
        self.assertEqual((load.streams(11), load.stream_tokens(11)), (1, 500))
        self.assertEqual(load.streams(30), 0)


class CacheModelTest(TestCase):
    """Prefix blocks in an engine's KV cache."""

    def test_prefix_only(self) -> None:
        """An engine can skip the beginning of a prompt, not its middle."""
        cache = CacheModel(10_000)
        cache.touch(blocks(('b', 100)))
        self.assertEqual(cache.cached_tokens(blocks(('a', 100), ('b', 100))), 0)
        cache.touch(blocks(('a', 100)))
        self.assertEqual(cache.cached_tokens(blocks(('a', 100), ('b', 100), ('c', 1))), 200)

    def test_least_recently_used_evicted(self) -> None:
        kv_tokens = int(1000 / BLOCK_MEMORY_SHARE)
        cache = CacheModel(kv_tokens)
        cache.touch(blocks(('a', 500)))
        cache.touch(blocks(('b', 500)))
        cache.touch(blocks(('a', 500)))
        cache.touch(blocks(('c', 300)))
        self.assertEqual(cache.cached_tokens(blocks(('a', 500))), 500)
        self.assertEqual(cache.cached_tokens(blocks(('b', 500))), 0)

    def test_fetch_only_after_prefill(self) -> None:
        """Two prompts share a block; the second can't fetch it before the prefill of the first ends."""
        cache = CacheModel(10_000)
        cache.touch(blocks(('a', 500)), 'reader')
        self.assertEqual(
            (cache.cached_tokens(blocks(('a', 500))), cache.fetchable_tokens(blocks(('a', 500)))), (500, 0)
        )
        cache.end_prefill('reader')
        self.assertEqual(cache.fetchable_tokens(blocks(('a', 500))), 500)


class MeterTest(TestCase):
    """Speeds from single prefills."""

    def test_speed_and_overhead_separate(self) -> None:
        """Short prefills take 36 ms whatever their length, which must not change the prefill speed."""
        meter = PrefillSpeedMeter()
        for _ in range(30):
            meter.observe(200, 300, 0.036 + 200 / 112_000)
            meter.observe(12_000, 12_000, 0.036 + TRUE_SPEED.prefill_s(12_000, 12_000))
        self.assertAlmostEqual(meter.speed.overhead_s, 0.036, delta=0.004)
        self.assertAlmostEqual(meter.speed.prefill_s(12_000, 12_000), TRUE_SPEED.prefill_s(12_000, 12_000), delta=0.008)

    def test_speed_delayed_samples(self) -> None:
        """Half of the prefills waited for others, which the samples don't show; the speed stays near the true one."""
        meter = PrefillSpeedMeter()
        for delay_s in (0, 0.1) * 30:
            meter.observe(12_000, 12_000, 0.036 + TRUE_SPEED.prefill_s(12_000, 12_000) + delay_s)
        self.assertLess(meter.speed.prefill_s(12_000, 12_000), 12_000 / 80_000)

    def test_speed_few_samples(self) -> None:
        """Engines run at a third of the speed of others; a restarted instance finds it by three prefills."""
        meter = PrefillSpeedMeter()
        slow_speed = PrefillSpeed(0.036, 27e-6, 0.2e-9)
        for _ in range(3):
            meter.observe(15_000, 17_000, 0.036 + slow_speed.prefill_s(15_000, 17_000))
        true_s = slow_speed.prefill_s(15_000, 17_000)
        self.assertAlmostEqual(meter.speed.prefill_s(15_000, 17_000), true_s, delta=0.1 * true_s)

    def test_tokens_and_pairs_separate(self) -> None:
        """The same 3,000 tokens take longer after a long shared prefix than alone."""
        meter = PrefillSpeedMeter()
        for fresh, total in ((3000, 17_000), (3000, 3000), (15_000, 15_000), (2000, 30_000)) * 10:
            meter.observe(fresh, total, 0.036 + TRUE_SPEED.prefill_s(fresh, total))
        for fresh, total in ((5000, 40_000), (20_000, 20_000)):
            true_s = TRUE_SPEED.prefill_s(fresh, total)
            self.assertAlmostEqual(meter.speed.prefill_s(fresh, total), true_s, delta=0.1 * true_s)

    def test_plain_pause_in_burst(self) -> None:
        """Five hundred disturbed pauses in a row must not count as undisturbed ones."""
        meter = PauseMeter()
        for _ in range(500):
            meter.observe(0.28)
        self.assertLess(meter.plain_s, 0.1)


class SilenceTest(TestCase):
    """Runners that hang."""

    def test_silent(self) -> None:
        """A runner with a request outstanding sends nothing; one that answers other requests is only busy."""
        health = RunnerSilence()
        ticket = health.note_sent(10)
        self.assertFalse(health.silent(10 + SILENCE_TIMEOUT_S / 2))
        self.assertTrue(health.silent(10.1 + SILENCE_TIMEOUT_S))
        health.note_activity(10.1 + SILENCE_TIMEOUT_S)
        self.assertFalse(health.silent(10.2 + SILENCE_TIMEOUT_S))
        health.note_settled(ticket, 11)
        self.assertFalse(health.silent(99))
