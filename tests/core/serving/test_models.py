"""Models of an engine: load, KV cache, speed, health."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.serving.engine_load import EngineLoad, Stream, Work
from sesamepoint_core.serving.health import FAILURES_TO_EJECT, FIRST_OUT_S, SILENT_S, Health
from sesamepoint_core.serving.kv_cache import SHARE_FOR_PARTS, CacheModel
from sesamepoint_core.serving.rate import PauseMeter, ReadSpeed, SpeedMeter
from tests.core.serving.builders import parts

# The faster of the known engines, as fitted to some hundred prefills there.
TRUE_SPEED = ReadSpeed(0.036, 1 / 112_000, 0.2e-9)


class EngineLoadTest(TestCase):
    """Prompts and answers in progress."""

    def test_wait_drains_with_time(self) -> None:
        load = EngineLoad()
        load.add_work('a', Work(0.2, 10))
        self.assertAlmostEqual(load.wait_s(10), 0.2)
        self.assertAlmostEqual(load.wait_s(10.15), 0.05)
        load.read('a', 10.2)
        self.assertEqual(load.wait_s(10.2), 0)

    def test_wait_for_all_that_was_sent(self) -> None:
        """Engines prefill in the order of arrival, whatever the priority."""
        load = EngineLoad()
        load.add_work('begun', Work(0.2, 10))
        load.add_work('waits', Work(0.5, 10))
        self.assertAlmostEqual(load.wait_s(10), 0.7)

    def test_wait_word_of_end_lost(self) -> None:
        """The instance that sent the work has failed; the work must not count for ever."""
        load = EngineLoad()
        load.add_work('a', Work(0.1, 10))
        self.assertEqual(load.wait_s(12), 0)

    def test_streams_counted_until_finished(self) -> None:
        load = EngineLoad()
        load.add_stream('a', Stream(1000, 10))
        load.add_stream('b', Stream(500, 10))
        load.finished('a')
        self.assertEqual((load.streams(11), load.stream_tokens(11)), (1, 500))
        self.assertEqual(load.streams(30), 0)


class CacheModelTest(TestCase):
    """Prefix blocks in an engine's KV cache."""

    def test_head_only(self) -> None:
        """An engine can skip the beginning of a prompt, not its middle."""
        cache = CacheModel(10_000)
        cache.touch(parts(('b', 100)))
        self.assertEqual(cache.cached(parts(('a', 100), ('b', 100))), 0)
        cache.touch(parts(('a', 100)))
        self.assertEqual(cache.cached(parts(('a', 100), ('b', 100), ('c', 1))), 200)

    def test_least_recently_used_yields(self) -> None:
        kv_tokens = int(1000 / SHARE_FOR_PARTS)
        cache = CacheModel(kv_tokens)
        cache.touch(parts(('a', 500)))
        cache.touch(parts(('b', 500)))
        cache.touch(parts(('a', 500)))
        cache.touch(parts(('c', 300)))
        self.assertEqual(cache.cached(parts(('a', 500))), 500)
        self.assertEqual(cache.cached(parts(('b', 500))), 0)

    def test_fetch_only_what_is_read(self) -> None:
        """Two prompts share a block; the second can't fetch it before the prefill of the first ends."""
        cache = CacheModel(10_000)
        cache.touch(parts(('a', 500)), 'reader')
        self.assertEqual((cache.cached(parts(('a', 500))), cache.readable(parts(('a', 500)))), (500, 0))
        cache.read('reader')
        self.assertEqual(cache.readable(parts(('a', 500))), 500)


class MeterTest(TestCase):
    """Speeds from single prefills."""

    def test_rate_and_overhead_apart(self) -> None:
        """Short prefills take 36 ms whatever their length, which must not change the prefill speed."""
        meter = SpeedMeter()
        for _ in range(30):
            meter.observe(200, 300, 0.036 + 200 / 112_000)
            meter.observe(12_000, 12_000, 0.036 + TRUE_SPEED.read_s(12_000, 12_000))
        self.assertAlmostEqual(meter.speed.overhead_s, 0.036, delta=0.004)
        self.assertAlmostEqual(meter.speed.read_s(12_000, 12_000), TRUE_SPEED.read_s(12_000, 12_000), delta=0.008)

    def test_rate_delayed_samples(self) -> None:
        """Half of the prefills waited for others, which the samples don't show; the speed stays near the true one."""
        meter = SpeedMeter()
        for delay_s in (0, 0.1) * 30:
            meter.observe(12_000, 12_000, 0.036 + TRUE_SPEED.read_s(12_000, 12_000) + delay_s)
        self.assertLess(meter.speed.read_s(12_000, 12_000), 12_000 / 80_000)

    def test_rate_found_by_few_samples(self) -> None:
        """Engines run at a third of the speed of others; a restarted instance finds it by three prefills."""
        meter = SpeedMeter()
        slow_speed = ReadSpeed(0.036, 27e-6, 0.2e-9)
        for _ in range(3):
            meter.observe(15_000, 17_000, 0.036 + slow_speed.read_s(15_000, 17_000))
        true_s = slow_speed.read_s(15_000, 17_000)
        self.assertAlmostEqual(meter.speed.read_s(15_000, 17_000), true_s, delta=0.1 * true_s)

    def test_tokens_and_pairs_apart(self) -> None:
        """The same 3,000 tokens take longer after a long shared prefix than alone."""
        meter = SpeedMeter()
        for fresh, total in ((3000, 17_000), (3000, 3000), (15_000, 15_000), (2000, 30_000)) * 10:
            meter.observe(fresh, total, 0.036 + TRUE_SPEED.read_s(fresh, total))
        for fresh, total in ((5000, 40_000), (20_000, 20_000)):
            true_s = TRUE_SPEED.read_s(fresh, total)
            self.assertAlmostEqual(meter.speed.read_s(fresh, total), true_s, delta=0.1 * true_s)

    def test_plain_pause_in_burst(self) -> None:
        """Five hundred disturbed pauses in a row must not count as undisturbed ones."""
        meter = PauseMeter()
        for _ in range(500):
            meter.observe(0.28)
        self.assertLess(meter.plain_s, 0.1)


class HealthTest(TestCase):
    """Runners that fail, hang and recover."""

    def test_eject_and_return(self) -> None:
        health = Health()
        ejected = [health.bad(10) for _ in range(FAILURES_TO_EJECT)]
        self.assertEqual(ejected, [False, False, True])
        self.assertFalse(health.usable(10 + FIRST_OUT_S / 2))
        self.assertTrue(health.usable(10 + FIRST_OUT_S))

    def test_eject_again_at_once(self) -> None:
        health = Health()
        for _ in range(FAILURES_TO_EJECT):
            health.bad(10)
        self.assertTrue(health.bad(12))
        self.assertFalse(health.usable(12 + FIRST_OUT_S))

    def test_eject_grey(self) -> None:
        """Every other request fails, never three in a row."""
        health = Health()
        ejected = False
        for _ in range(20):
            health.good()
            ejected = health.bad(10) or ejected
        self.assertTrue(ejected)

    def test_sound_runner_stays(self) -> None:
        """One answer in seven fails, as at healthy services, sometimes three in a row: no ejection."""
        health = Health()
        for _ in range(30):
            for _ in range(3):
                self.assertFalse(health.bad(10, answered=True))
            for _ in range(18):
                health.good()

    def test_silent(self) -> None:
        """A runner with a request outstanding sends nothing; one that answers other requests is only busy."""
        health = Health()
        ticket = health.sent(10)
        self.assertFalse(health.silent(10 + SILENT_S / 2))
        self.assertTrue(health.silent(10.1 + SILENT_S))
        health.heard(10.1 + SILENT_S)
        self.assertFalse(health.silent(10.2 + SILENT_S))
        health.settled(ticket)
        self.assertFalse(health.silent(99))
