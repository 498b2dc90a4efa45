"""The metrics page of a front process, in the text format of Prometheus."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.registry import Collector

from sesamepoint.front.telemetry.metrics import LATENCY_BUCKETS_S

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client import Metric

    from sesamepoint.front.telemetry.metrics import FrontMetrics, Latencies
    from sesamepoint.front.telemetry.rows import Rows

BUCKET_NAMES = (*(str(bound) for bound in LATENCY_BUCKETS_S), '+Inf')


class FrontCollector(Collector):
    """Reads the metrics of one process."""

    def __init__(self, metrics: FrontMetrics) -> None:
        """Read ``metrics``."""
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Return the current values."""
        yield from map(_counter, self._metrics.counters)
        yield from map(_histogram, self._metrics.histograms)
        for gauge in self._metrics.gauges:
            yield GaugeMetricFamily(gauge.name, gauge.text, gauge.value_of())


def registry_of(metrics: FrontMetrics) -> CollectorRegistry:
    """Return a registry that reads ``metrics``."""
    registry = CollectorRegistry()
    registry.register(FrontCollector(metrics))
    return registry


def render_page(metrics: FrontMetrics) -> bytes:
    """Return the page of ``metrics``."""
    return generate_latest(registry_of(metrics))


def _counter(rows: Rows) -> CounterMetricFamily:
    family = CounterMetricFamily(rows.name, rows.text, labels=rows.labels)
    for labels, amount in rows.amounts.items():
        family.add_metric(labels, amount)
    return family


def _histogram(latencies: Latencies) -> HistogramMetricFamily:
    family = HistogramMetricFamily(latencies.name, latencies.text, labels=('service',))
    for service, counts in latencies.counts.items():
        buckets = tuple(zip(BUCKET_NAMES, accumulate(counts), strict=True))
        family.add_metric((service,), buckets, latencies.sums[service])
    return family


__all__ = ('FrontCollector', 'registry_of', 'render_page')
