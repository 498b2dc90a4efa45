"""The metrics page of a front process."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint.front.telemetry.metrics import LATENCY_BUCKETS_S, FrontMetrics, Latencies
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, new_prompt_request, new_request
from tests.front.streams.builders import break_streams, run_streams, stream_configuration, versioned_engines
from tests.virtual_time import in_virtual_time


class MetricsPageTest(TestCase):
    """The lines of the page."""

    @in_virtual_time
    async def test_requests_counted(self) -> None:
        """Guards against names, labels or counts that differ from those of docs/OPERATIONS.md."""
        async with open_bench(configuration(), fleet()) as bench:
            for _ in range(2):
                await bench.new_caller('front-1').send(new_request('/thumb/a'))
            await bench.new_caller('front-1').send(new_prompt_request('/tag/a'))
            lines = bench.fronts['front-1'].dispatcher.metrics.render().decode().splitlines()
        for line in (
            '# TYPE sesamepoint_requests_total counter',
            'sesamepoint_requests_total{outcome="status_200",path="plain",service="web"} 2.0',
            'sesamepoint_request_seconds_bucket{le="+Inf",service="web"} 2.0',
            'sesamepoint_request_seconds_count{service="web"} 2.0',
            'sesamepoint_first_event_seconds_count{service="llm"} 1.0',
            'sesamepoint_runners 5.0',
        ):
            self.assertIn(line, lines)

    @in_virtual_time
    async def test_streams_gone_on_counted(self) -> None:
        """Guards against streams that go on, or can't, and are not counted."""
        runners = [*versioned_engines(1, 2, 'v1'), *versioned_engines(3, 2, 'v2')]
        break_streams(runners)
        async with open_bench(stream_configuration(), runners, fronts=2) as bench:
            await run_streams(bench, 1, ['front-1'])
            await bench.new_caller('front-1').send(new_prompt_request('/tag/a', extra=((b'last-event-id', b'2'),)))
            page = bench.fronts['front-1'].dispatcher.metrics.render()
        for line in (
            b'sesamepoint_streams_gone_on_total{outcome="whole",service="llm",within="answer"} 1.0',
            b'sesamepoint_streams_gone_on_total{outcome="version_unknown",service="llm",within="attempt"} 1.0',
            b'sesamepoint_remembered_streams 1.0',
        ):
            self.assertIn(line, page)

    def test_gauge_evaluated_when_read(self) -> None:
        """Guards against gauges that show the value of an earlier time."""
        metrics = FrontMetrics()
        present = [1.0]
        metrics.add_gauge('sesamepoint_things', 'Things.', lambda: present[0])
        self.assertIn(b'sesamepoint_things 1.0\n', metrics.render())
        present[0] = 2
        self.assertIn(b'sesamepoint_things 2.0\n', metrics.render())

    def test_bounds_of_buckets(self) -> None:
        """Guards against an observation on a bound that counts into the next bucket, and one beyond all bounds."""
        latencies = Latencies.empty('things', 'Things.')
        for took_s in (LATENCY_BUCKETS_S[0], LATENCY_BUCKETS_S[0] + 0.001, LATENCY_BUCKETS_S[-1] + 1):
            latencies.observe('web', took_s)
        counts = latencies.counts['web']
        self.assertEqual((counts[0], counts[1], counts[-1]), (1, 1, 1))
        self.assertEqual(sum(counts), 3)
