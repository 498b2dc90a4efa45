"""Counters, gauges and latency histograms of the front; docs/OPERATIONS.md describes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.requests.job import Job

# Bounds in seconds, around the current target latencies of 0.2 to 0.8 s.
LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0)


# Accounts with a label of their own; all others share one label. Each adds about
# five rows to the metrics page.
MAX_ACCOUNTS = 200
OTHER_ACCOUNTS_LABEL = 'other'


class FrontMetrics:
    """Metrics of one process, in a registry of its own."""

    def __init__(self) -> None:
        """Start at zero."""
        self.registry = CollectorRegistry()
        self._requests = Counter(
            'sesamepoint_requests',
            'Requests that found a route, by what became of them.',
            ('service', 'path', 'outcome'),
            registry=self.registry,
        )
        self._first_event = Histogram(
            'sesamepoint_first_event_seconds',
            'From arrival to the first event of a stream.',
            ('service',),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._whole_request = Histogram(
            'sesamepoint_request_seconds',
            'From arrival to the end of the answer.',
            ('service',),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._extra_sends = Counter(
            'sesamepoint_extra_sends',
            'Sends of a request beyond its first.',
            ('service',),
            registry=self.registry,
        )
        self._by_account = Counter(
            'sesamepoint_account_requests',
            'Requests of client accounts, by what became of them.',
            ('account', 'outcome'),
            registry=self.registry,
        )
        self._named_accounts: set[str] = set()
        self._denied = Counter(
            'sesamepoint_denied',
            "Requests whose key is no account's, by why.",
            ('cause',),
            registry=self.registry,
        )
        self._broken_sends = Counter(
            'sesamepoint_broken_sends',
            'Sends that ended without a whole answer, by how.',
            ('service', 'outcome'),
            registry=self.registry,
        )

    def count_denied(self, fault: str) -> None:
        """Count a request whose key belongs to no account."""
        self._denied.labels(fault).inc()

    def add_gauge(self, name: str, text: str, value_of: Callable[[], float]) -> None:
        """Add a gauge that is evaluated when the page is read."""
        Gauge(name, text, registry=self.registry).set_function(value_of)

    def count_broken_send(self, service: str, outcome: str) -> None:
        """Count a send that ended without a complete answer."""
        self._broken_sends.labels(service, outcome).inc()

    def count_request_end(self, job: Job, took_s: float) -> None:
        """Count a request that has ended."""
        path = str(job.trace.decision.get('path', 'plain'))
        self._requests.labels(job.service, path, _outcome(job)).inc()
        account = job.access.account
        if account:
            self._by_account.labels(self._account_label(account.name), _outcome(job)).inc()
        if job.sends > 1:
            self._extra_sends.labels(job.service).inc(job.sends - 1)
        if job.trace.first_output_at is not None:
            self._first_event.labels(job.service).observe(job.trace.first_output_at - job.req.arrived_at)
        if job.reply.started and not job.reply.unfinished:
            self._whole_request.labels(job.service).observe(took_s)

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


__all__ = ('FrontMetrics',)
