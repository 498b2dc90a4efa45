"""Counters, gauges and latency histograms of the front; docs/OPERATIONS.md describes them."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.body_end.decision import BrokenOff, Complete
from sesamepoint.front.telemetry.rows import Rows
from sesamepoint.front.telemetry.size_parts import SizeParts

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from sesamepoint.front.requests.job import Job

# Bounds in seconds, around the current target latencies of 0.2 to 0.8 s.
LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0)


# Accounts with a label of their own; all others share one label. Each adds about
# five rows to the metrics page.
MAX_ACCOUNTS = 200
OTHER_ACCOUNTS_LABEL = 'other'
# Outcome of a stream that has gone on to its end.
WHOLE_OUTCOME = 'whole'


class Latencies(NamedTuple):
    """A histogram of seconds for each service."""

    name: str
    text: str
    # Number of observations in each bucket, not cumulated; the last one has no bound.
    counts: dict[str, list[int]]
    sums: defaultdict[str, float]

    @classmethod
    def empty(cls, name: str, text: str) -> Latencies:
        """Return a histogram without observations."""
        return cls(name, text, {}, defaultdict(float))

    def observe(self, service: str, took_s: float) -> None:
        """Add an observation, in seconds."""
        counts = self.counts.setdefault(service, [0 for _ in range(len(LATENCY_BUCKETS_S) + 1)])
        counts[bisect_left(LATENCY_BUCKETS_S, took_s)] += 1
        self.sums[service] += took_s


class GaugeValue(NamedTuple):
    """A gauge that is evaluated when the page is read."""

    name: str
    text: str
    value_of: Callable[[], float]


class FrontMetrics:
    """Metrics of one process.

    They are plain figures; ``prometheus_client`` is imported when a page is read,
    since its import takes a tenth of the processor time of a start.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.gauges: list[GaugeValue] = []
        self._requests = Rows.empty(
            'sesamepoint_requests',
            'Requests that found a route, by what became of them.',
            'service',
            'path',
            'outcome',
        )
        self._first_event = Latencies.empty(
            'sesamepoint_first_event_seconds', 'From arrival to the first event of a stream.'
        )
        self._whole_request = Latencies.empty('sesamepoint_request_seconds', 'From arrival to the end of the answer.')
        self._extra_sends = Rows.empty('sesamepoint_extra_sends', 'Sends of a request beyond its first.', 'service')
        self._by_account = Rows.empty(
            'sesamepoint_account_requests', 'Requests of client accounts, by what became of them.', 'account', 'outcome'
        )
        self._named_accounts: set[str] = set()
        self._denied = Rows.empty('sesamepoint_denied', "Requests whose key is no account's, by why.", 'cause')
        self._gone_on = Rows.empty(
            'sesamepoint_streams_gone_on',
            'Streams that were to go on, in the same answer or another attempt, by what became of them.',
            'service',
            'within',
            'outcome',
        )
        self._broken_sends = Rows.empty(
            'sesamepoint_broken_sends', 'Sends that ended without a whole answer, by how.', 'service', 'outcome'
        )
        self._bodies = Rows.empty(
            'sesamepoint_answer_bodies',
            'Bodies of answers of runners, by their framing, how reading them ended, and what that was taken for.',
            'service',
            'framing',
            'read_end',
            'end',
        )
        self._size_parts = SizeParts()
        self.counters: tuple[Rows, ...] = (
            self._requests,
            self._extra_sends,
            self._by_account,
            self._denied,
            self._broken_sends,
            self._gone_on,
            self._bodies,
            self._size_parts.rows,
        )

    @property
    def histograms(self) -> tuple[Latencies, ...]:
        """Return all histograms."""
        return (self._first_event, self._whole_request)

    @property
    def registry(self) -> CollectorRegistry:
        """Return a registry that reads these metrics."""
        from sesamepoint.front.telemetry.metrics_page import registry_of  # noqa: PLC0415

        return registry_of(self)

    def render(self) -> bytes:
        """Return the page of these metrics."""
        from sesamepoint.front.telemetry.metrics_page import render_page  # noqa: PLC0415

        return render_page(self)

    def count_denied(self, fault: str) -> None:
        """Count a request whose key belongs to no account."""
        self._denied.add(fault)

    def add_gauge(self, name: str, text: str, value_of: Callable[[], float]) -> None:
        """Add a gauge that is evaluated when the page is read."""
        self.gauges.append(GaugeValue(name, text, value_of))

    def count_broken_send(self, service: str, outcome: str) -> None:
        """Count a send that ended without a complete answer."""
        self._broken_sends.add(service, outcome)

    def count_body(self, service: str, end: Complete | BrokenOff) -> None:
        """Count the body of an answer."""
        kind = end.cause.value if isinstance(end, BrokenOff) else end.tag
        self._bodies.add(service, end.facts.framing.value, end.facts.read_end.value, kind)

    def count_request_end(self, job: Job, took_s: float) -> None:
        """Count a request that has ended."""
        path = str(job.trace.decision.get('path', 'plain'))
        self._requests.add(job.service, path, _outcome(job))
        self._size_parts.count(job, _outcome(job))
        account = job.access.account
        if account:
            self._by_account.add(self._account_label(account.name), _outcome(job))
        self._count_gone_on(job)
        if job.sends > 1:
            self._extra_sends.add(job.service, amount=job.sends - 1)
        if job.trace.first_output_at is not None:
            self._first_event.observe(job.service, job.trace.first_output_at - job.req.arrived_at)
        if job.reply.started and not job.reply.unfinished:
            self._whole_request.observe(job.service, took_s)

    def _count_gone_on(self, job: Job) -> None:
        if job.goes_on and job.req.continuation.has_events:
            self._gone_on.add(job.service, 'attempt', job.trace.cause or WHOLE_OUTCOME)
        elif job.stream.moved:
            self._gone_on.add(job.service, 'answer', job.trace.cause or WHOLE_OUTCOME)

    def _account_label(self, account: str) -> str:
        if account not in self._named_accounts and len(self._named_accounts) >= MAX_ACCOUNTS:
            return OTHER_ACCOUNTS_LABEL
        self._named_accounts.add(account)
        return account


def _outcome(job: Job) -> str:
    if job.reply.unfinished:
        return 'broken_off'
    if not job.reply.started:
        return 'caller_left'
    if job.trace.refused:
        return 'refused'
    return f'status_{job.reply.status}'


__all__ = ('LATENCY_BUCKETS_S', 'FrontMetrics', 'GaugeValue', 'Latencies')
