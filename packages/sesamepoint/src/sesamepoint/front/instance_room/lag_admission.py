"""Admission of requests by the lag of this process and the queue of its link."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.instance_room.connection_shedding import ConnectionShedding
from sesamepoint_core.instance_room.lag import LagMeter
from sesamepoint_core.instance_room.lag_admission import LagForecast, RunnerTimes, link_wait_s
from sesamepoint_core.instance_room.lagging_peers import REPORT_INTERVAL_S, LaggingPeers, report_recipients
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.instance_room.lag_messages import MAX_LAG_MS, LagMessage
from sesamepoint.front.requests.failure_cause import FailureCause

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.instance_room.lag_messages import PeerExchange
    from sesamepoint.front.instance_room.room_network import RoomNetwork
    from sesamepoint.front.requests.job import Job

# Several wake-ups fit into the time over which the lag meter averages.
WAKE_UP_INTERVAL_S = 0.05
# A wake-up that is so late is logged, in seconds.
STALL_S = 1.0
# Retry-After of a request that another instance can take at once, in seconds.
RETRY_NOW_S = 0.02


class LagAdmission:
    """Measures the lag of this process and refuses requests that would be late because of it."""

    def __init__(self, network: RoomNetwork, link_bytes_s: Callable[[], float]) -> None:
        """Judge the link by what ``network`` has queued and by the callable's bandwidth."""
        self.refused = 0
        # New connections that were closed unread.
        self.shed = 0
        # Times at which no task ran for a second or more.
        self.stalls = 0
        self._shedding = ConnectionShedding()
        self._network = network
        self._link_bytes_s = link_bytes_s
        self._meter = LagMeter()
        self._runner_times = RunnerTimes()
        self._lagging_peers = LaggingPeers()
        self._peers: PeerExchange | None = None
        self._reports = 0
        self._reported_at = -math.inf

    def join(self, peers: PeerExchange) -> None:
        """Exchange reports on lag with ``peers``."""
        self._peers = peers
        peers.handlers[LagMessage] = self._note_report

    def refuses(self, job: Job) -> bool:
        """Return whether ``job`` is to be refused, and prepare its refusal.

        A caller retries once, so a retry is served even if it is late. While new connections arrive in
        excess, what can't be served is closed unread, and what was read is served.
        """
        if job.caller_retry or self.in_excess():
            return False
        forecast = self._forecast(job)
        if not forecast.late_by_own_lag() or not self._others_have_room():
            return False
        self.refused += 1
        job.trace.unsent_cause = FailureCause.instance_lag
        job.retry_after_s = RETRY_NOW_S
        events.log_event(
            events.REQUEST_REFUSED_LAG,
            request=job.req.request_id,
            target_ms=whole_ms(forecast.target_s),
            left_ms=whole_ms(forecast.target_left_s),
            lag_ms=whole_ms(forecast.lag_s),
            loop_lag_ms=whole_ms(self._meter.loop_lag_s()),
            link_ms=whole_ms(forecast.link_s),
            runner_ms=whole_ms(forecast.runner_s),
            lagging_share=round(self.lagging_share(), 2),
        )
        return True

    def in_excess(self) -> bool:
        """Return whether new connections arrive far more often than usual."""
        return self._shedding.in_excess(trio.current_time())

    def sheds_connection(self, cfg: Configuration | None) -> bool:
        """Count a new connection, and return whether to close it unread."""
        now = trio.current_time()
        self._shedding.note_connection(now)
        if cfg is None or not self._shedding.in_excess(now):
            return False
        targets_s = (route.target_s for routes in cfg.routes.values() for route in routes)
        target_s = min(targets_s, default=math.inf)
        if not self._shedding.sheds(self.loop_lag_s(), target_s, now) or not self._others_have_room():
            return False
        self.shed += 1
        events.log_event(
            events.CONNECTION_SHED,
            loop_lag_ms=whole_ms(self.loop_lag_s()),
            target_ms=whole_ms(target_s),
            lagging_share=round(self.lagging_share(), 2),
            shed=self.shed,
        )
        return True

    def note_first_send(self, job: Job) -> None:
        """Record how long a request took until its first send, without its waits for runners."""
        trace = job.trace
        waited_s = trace.queued_s + (trace.prefill_s or 0)
        now = trio.current_time()
        self._meter.note_sojourn(now - job.req.arrived_at - waited_s, now)

    def note_end(self, job: Job) -> None:
        """Record how long the runners took for the first output of a request."""
        first_at = job.trace.first_output_at
        if first_at is not None and job.sends == 1:
            self._runner_times.note(job.route.name, first_at - job.trace.sent_at)

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget the times of all routes except ``routes``."""
        self._runner_times.keep_only(routes)

    def lag_s(self) -> float:
        """Return the standing lag in seconds."""
        return self._meter.lag_s(trio.current_time())

    def loop_lag_s(self) -> float:
        """Return the mean lateness of the latest wake-ups in seconds."""
        return self._meter.loop_lag_s()

    async def run(self) -> None:
        """Measure how late this task is woken up."""
        while True:
            due_at = trio.current_time() + WAKE_UP_INTERVAL_S
            await trio.sleep_until(due_at)
            now = trio.current_time()
            self._meter.note_wake_up(now - due_at, now)
            self._note_stall(now - due_at)
            await self._report_if_due(now)

    def lagging_share(self) -> float:
        """Return the estimated share of the other instances that lag."""
        return self._lagging_peers.share(self._peer_count(), trio.current_time())

    def _note_stall(self, late_s: float) -> None:
        """Log that no task has run for a time, once this one runs again."""
        if late_s < STALL_S:
            return
        self.stalls += 1
        events.log_event(events.LOOP_STALLED, late_ms=whole_ms(late_s), stalls=self.stalls)

    def _others_have_room(self) -> bool:
        return self._lagging_peers.others_have_room(self._peer_count(), trio.current_time())

    def _peer_count(self) -> int:
        return 0 if self._peers is None else len(self._peers.peer_names())

    def _note_report(self, _: LagMessage) -> None:
        self._lagging_peers.note_report(trio.current_time())

    async def _report_if_due(self, now: float) -> None:
        lag_s = self._meter.lag_s(now)
        if self._peers is None or not lag_s or now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        self._reports += 1
        message = LagMessage(self._peers.name, min(whole_ms(lag_s), MAX_LAG_MS))
        await self._peers.send_to(report_recipients(self._peers.peer_names(), self._reports), message)

    def _forecast(self, job: Job) -> LagForecast:
        network = self._network
        link_s: float = 0
        if network.sends:
            link_s = link_wait_s(len(job.req.body), network.queued_bytes(), network.sends, self._link_bytes_s())
        return LagForecast(
            target_s=job.route.target_s,
            target_left_s=job.target_left_s,
            lag_s=self.lag_s(),
            link_s=link_s,
            runner_s=self._runner_times.expected_s(job.route.name),
        )


__all__ = ('LagAdmission',)
