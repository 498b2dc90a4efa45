"""Streams of earlier attempts that callers take up: the origin is found, or the request is refused."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint_core.stream_origin.origin_lookup import Known, Unknown
from sesamepoint_core.stream_origin.origin_memory import MIN_RETENTION_S
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.front.requests.retry_after import default_retry_after_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.routes import Configuration, ServiceShare
    from sesamepoint_core.stream_origin.origin import StreamOrigin
    from sesamepoint_core.stream_origin.origin_lookup import LookupResult
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.streams.origin_exchange import OriginExchange


class TakeUps:
    """Finds the origins of streams that callers take up at this instance."""

    def __init__(self, exchange: OriginExchange) -> None:
        """Find origins by ``exchange``."""
        self._exchange = exchange
        self._shares: dict[str, tuple[ServiceShare, ...]] = {}
        self._moved_at: dict[str, float] = {}

    def configure(self, cfg: Configuration) -> None:
        """Remember streams for as long as a route lets its callers wait, and note which routes have moved."""
        routes = [route for of_host in cfg.routes.values() for route in of_host]
        longest_s = max((route.timeout_s for route in routes if route.streamed), default=0)
        self._exchange.set_retention(max(longest_s, MIN_RETENTION_S))
        shares = {route.name: route.shares for route in routes}
        moved = (name for name, of_route in shares.items() if self._shares.get(name, of_route) != of_route)
        self._moved_at.update(dict.fromkeys(moved, trio.current_time()))
        self._moved_at = {name: at for name, at in self._moved_at.items() if name in shares}
        self._shares = shares

    def watch(self, add_gauge: Callable[[str, str, Callable[[], float]], None]) -> None:
        """Add gauges of the remembered streams."""
        memory = self._exchange.memory
        add_gauge('sesamepoint_remembered_streams', 'Streams whose version is remembered.', lambda: len(memory))
        add_gauge('sesamepoint_dropped_streams', 'Streams forgotten early for lack of room.', lambda: memory.dropped)

    def follow(self, job: Job) -> None:
        """Announce the origin of the stream of ``job`` once it begins."""
        job.stream.on_begun = partial(self.note_begun, job)

    def note_begun(self, job: Job, origin: StreamOrigin) -> None:
        """Announce the origin of a stream whose first event from this instance goes to the caller.

        A stream that was taken up is announced again under the id of its first attempt, since its
        holders may have gone, and under that of this attempt.
        """
        continuation = job.req.continuation
        request_ids = {job.req.request_id}
        if continuation.has_events and continuation.first_attempt:
            request_ids.add(continuation.first_attempt)
        self._exchange.announce(request_ids, origin)

    async def resolve(self, job: Job) -> bool:
        """Set the origin of the stream that ``job`` goes on with; return False if the request must be refused.

        A caller that names an attempt but no event has nothing that events could be
        joined to, so its request begins anew.
        """
        if job.route.repeat is not RepeatPolicy.resume or not job.req.continuation.has_events:
            return True
        began = trio.current_time()
        first_attempt = job.req.continuation.first_attempt
        found = await self._exchange.find(first_attempt, self._only_service(job))
        cause = self._apply(job, found)
        _log(job, found, trio.current_time() - began)
        return not cause

    def _apply(self, job: Job, found: LookupResult) -> FailureCause:
        """Set the origin if the route still allows its service; return why not."""
        if isinstance(found, Unknown):
            # If nobody else can know, a retry would be refused as well, so it is given no time.
            wait_s = None if found.complete else default_retry_after_s(job.caller_left_s)
            _refuse(job, FailureCause.origin_unknown, wait_s)
        elif found.origin.service in {share.service for share in job.route.shares}:
            job.service = found.origin.service
            job.stream.origin = found.origin
        else:
            _refuse(job, FailureCause.origin_gone, None)
        return job.trace.unsent_cause

    def _only_service(self, job: Job) -> str:
        """Return the service that must have begun the stream; empty if the route has or had several."""
        moved = trio.current_time() - self._moved_at.get(job.route.name, -math.inf) < self._retention_s
        return '' if moved or len(job.route.shares) > 1 else job.route.shares[0].service

    @property
    def _retention_s(self) -> float:
        return self._exchange.memory.retention_s


def _refuse(job: Job, cause: FailureCause, retry_after_s: float | None) -> None:
    job.trace.unsent_cause = cause
    job.retry_after_s = retry_after_s


def _log(job: Job, found: LookupResult, took_s: float) -> None:
    events.log_event(
        events.STREAM_TAKEN_UP,
        request=job.req.request_id,
        **job.req.continuation.log_fields(),
        found=found.tag,
        **_origin_fields(found),
        cause=job.trace.unsent_cause,
        took_ms=whole_ms(took_s),
    )


def _origin_fields(found: LookupResult) -> dict[str, object]:
    if isinstance(found, Unknown):
        return {'complete': found.complete}
    fields: dict[str, object] = {'fleet': found.origin.service, 'version': found.origin.version}
    if isinstance(found, Known):
        fields.update(source=found.source, age_ms=whole_ms(found.age_s))
    return fields


__all__ = ('TakeUps',)
