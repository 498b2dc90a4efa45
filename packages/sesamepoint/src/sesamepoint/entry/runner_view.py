"""State of one runner as known to this instance: reports and unreported own work."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import LinkLostError
from sesamepoint_core.route.candidate import Candidate
from sesamepoint_core.route.time_correction import TimeCorrection
from sesamepoint import events
from sesamepoint.link.messages import BeatRequest, LoadReport, SyncRequest

if TYPE_CHECKING:
    from sesamepoint_core.config.model import RunnerConfig
    from sesamepoint_core.plan.demand import OfferedDemand
    from sesamepoint.control.follower import Follower
    from sesamepoint.link.base import AgentLink
    from sesamepoint.link.messages import Job

REPORT_LAG_S = 1.0
MAX_MISSED_HEARTBEATS = 2


class OwnWork(NamedTuple):
    """Attempt of this instance that the runner's last report may not include yet."""

    sent_at: float
    prompt_tokens: int
    urgent: bool
    prefix: str


class RunnerView:
    """State of one runner: its last report, the attempts sent to it and its missed heartbeats."""

    def __init__(self, name: str, cfg: RunnerConfig, link: AgentLink) -> None:
        """Start without a report; the runner counts as failed until the first one."""
        self.name = name
        self.cfg = cfg
        self.link = link
        self.report: LoadReport | None = None
        self.platform_draining = False
        self._reported_at = float('-inf')
        self._missed_heartbeats = MAX_MISSED_HEARTBEATS
        self._own_work: dict[str, OwnWork] = {}
        self._time_corrections = {True: TimeCorrection(), False: TimeCorrection()}

    @property
    def alive(self) -> bool:
        """Whether the agent answered one of the last heartbeats."""
        return self._missed_heartbeats < MAX_MISSED_HEARTBEATS

    @property
    def eligible(self) -> bool:
        """Whether new requests may be sent to the runner."""
        draining = self.cfg['draining'] or self.platform_draining
        return self.alive and not draining and self.report is not None and self.report.ready

    def add_attempt(self, attempt: str, job: Job) -> None:
        """Add an attempt that is sent to the runner."""
        cached = self.report is not None and job.prefix in self.report.load.prefixes
        tokens = job.prompt_tokens - cached * job.prefix_tokens
        self._own_work[attempt] = OwnWork(trio.current_time(), tokens, job.urgent, job.prefix)

    def remove_attempt(self, attempt: str) -> None:
        """Remove an attempt that ended."""
        self._own_work.pop(attempt, None)

    def candidate(self, zone: str, *, urgent: bool) -> Candidate:
        """Return the runner as a candidate for routing; it must have a report.

        A report lags behind the actual load: the attempts that this instance
        sent after it was made are added to the reported load.
        """
        report = self.report
        assert report is not None  # noqa: S101
        reported_until = self._reported_at - REPORT_LAG_S
        unreported = [work for work in self._own_work.values() if work.sent_at > reported_until]
        load = report.load
        load = load._replace(
            waiting_tokens=load.waiting_tokens + sum(work.prompt_tokens for work in unreported),
            urgent_tokens=load.urgent_tokens + sum(work.prompt_tokens for work in unreported if work.urgent),
            waiting=load.waiting + len(unreported),
            prefixes=(*load.prefixes, *(work.prefix for work in unreported if work.prefix)),
        )
        time_correction = self._time_corrections[urgent].factor(trio.current_time())
        return Candidate(self.name, self.cfg['availability_zone'] == zone, load, time_correction)

    def observe_time(self, expected_s: float, took_s: float, *, urgent: bool) -> None:
        """Update the time correction with the expected and actual time of a request."""
        self._time_corrections[urgent].observe(trio.current_time(), expected_s, took_s)

    def on_report(self, report: LoadReport, requested_at: float) -> None:
        """Store a report and when it was requested, in seconds on trio's clock."""
        self._missed_heartbeats = 0
        self.report = report
        self._reported_at = requested_at

    async def send_heartbeat(self, follower: Follower, offered_demand: OfferedDemand) -> None:
        """Send a heartbeat with the demand of this instance's callers; store the reply."""
        asked_at = trio.current_time()
        generation = self.link.generation
        try:
            report = await self.link.beat(BeatRequest(follower.writer, follower.state.offset, offered_demand))
        except LinkLostError as exc:
            self._on_missed_heartbeat(generation, str(exc))
            return
        if not self.alive:
            events.log_event(events.RUNNER_RECOVERED, runner=self.name)
        self.on_report(report, asked_at)
        if report.folded_offset > follower.state.offset:
            await self._catch_up(follower)

    async def _catch_up(self, follower: Follower) -> None:
        generation = self.link.generation
        try:
            reply = await self.link.sync(SyncRequest(follower.state.offset))
        except LinkLostError as exc:
            self._on_missed_heartbeat(generation, str(exc))
            return
        follower.apply_peer_records(reply.records)

    def _on_missed_heartbeat(self, generation: int, cause: str) -> None:
        # A middlebox may have dropped the state of this connection while new
        # ones work. The runner counts as failed only if a heartbeat on a new
        # connection goes unanswered as well.
        self._missed_heartbeats += 1
        self.link.renew(generation)
        if self._missed_heartbeats == MAX_MISSED_HEARTBEATS:
            events.log_event(events.RUNNER_DECLARED_DEAD, runner=self.name, cause=cause)


__all__ = ('RunnerView',)
