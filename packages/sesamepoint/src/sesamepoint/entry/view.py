"""What an entry knows of one runner: reports, and its own work on top."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import LinkLostError
from sesamepoint_core.route.candidate import Candidate
from sesamepoint_core.route.pace import Pace
from sesamepoint import events
from sesamepoint.link.messages import BeatRequest, LoadReport, SyncRequest

if TYPE_CHECKING:
    from sesamepoint_core.config.model import RunnerConfig
    from sesamepoint_core.plan.demand import Offered
    from sesamepoint.control.follower import Follower
    from sesamepoint.link.base import AgentLink
    from sesamepoint.link.messages import Job

REPORT_LAG_S = 1.0
LOST_AFTER = 2


class OwnWork(NamedTuple):
    """Work of this entry's that a report may not show yet."""

    sent_at: float
    prompt_tokens: int
    urgent: bool
    prefix: str


class RunnerView:
    """One runner as this entry sees it."""

    def __init__(self, name: str, cfg: RunnerConfig, link: AgentLink) -> None:
        """Know nothing but the configuration."""
        self.name = name
        self.cfg = cfg
        self.link = link
        self.report: LoadReport | None = None
        self.platform_leaving = False
        self._reported_at = float('-inf')
        self._missed = LOST_AFTER
        self._own: dict[str, OwnWork] = {}
        self._paces = {True: Pace(), False: Pace()}

    @property
    def alive(self) -> bool:
        """Whether the agent answered lately."""
        return self._missed < LOST_AFTER

    @property
    def usable(self) -> bool:
        """Whether new work may go there."""
        leaving = self.cfg['draining'] or self.platform_leaving
        return self.alive and not leaving and self.report is not None and self.report.ready

    def begin(self, attempt: str, job: Job) -> None:
        """Count an attempt that goes there."""
        known = self.report is not None and job.prefix in self.report.load.prefixes
        tokens = job.prompt_tokens - known * job.prefix_tokens
        self._own[attempt] = OwnWork(trio.current_time(), tokens, job.urgent, job.prefix)

    def finish(self, attempt: str) -> None:
        """Stop counting an attempt."""
        self._own.pop(attempt, None)

    def candidate(self, zone: str, *, urgent: bool) -> Candidate:
        """Return what there is to choose by.

        A report trails reality; what this entry sent since the report was
        made is not in it and is added.
        """
        report = self.report
        assert report is not None  # noqa: S101
        horizon = self._reported_at - REPORT_LAG_S
        unseen = [work for work in self._own.values() if work.sent_at > horizon]
        load = report.load
        load = load._replace(
            waiting_tokens=load.waiting_tokens + sum(work.prompt_tokens for work in unseen),
            urgent_tokens=load.urgent_tokens + sum(work.prompt_tokens for work in unseen if work.urgent),
            waiting=load.waiting + len(unseen),
            prefixes=(*load.prefixes, *(work.prefix for work in unseen if work.prefix)),
        )
        pace = self._paces[urgent].factor(trio.current_time())
        return Candidate(self.name, self.cfg['availability_zone'] == zone, load, pace)

    def observe(self, expected_s: float, took_s: float, *, urgent: bool) -> None:
        """Learn how long an answer really took here."""
        self._paces[urgent].observe(trio.current_time(), expected_s, took_s)

    def take_report(self, report: LoadReport, asked_at: float) -> None:
        """Learn a report that was made after ``asked_at``."""
        self._missed = 0
        self.report = report
        self._reported_at = asked_at

    async def beat(self, follower: Follower, offered: Offered) -> None:
        """Ask for a sign of life, and tell what callers asked for."""
        asked_at = trio.current_time()
        generation = self.link.generation
        try:
            report = await self.link.beat(BeatRequest(follower.writer, follower.state.offset, offered))
        except LinkLostError as exc:
            self._miss(generation, str(exc))
            return
        if not self.alive:
            events.log_event(events.RUNNER_RECOVERED, runner=self.name)
        self.take_report(report, asked_at)
        if report.folded > follower.state.offset:
            await self._catch_up(follower)

    async def _catch_up(self, follower: Follower) -> None:
        generation = self.link.generation
        try:
            reply = await self.link.sync(SyncRequest(follower.state.offset))
        except LinkLostError as exc:
            self._miss(generation, str(exc))
            return
        follower.learn(reply.records)

    def _miss(self, generation: int, cause: str) -> None:
        # Something between the two ends may have lost track of this one
        # connection while new ones work: only a new one, silent as well,
        # tells that the runner is lost.
        self._missed += 1
        self.link.renew(generation)
        if self._missed == LOST_AFTER:
            events.log_event(events.RUNNER_DECLARED_DEAD, runner=self.name, cause=cause)


__all__ = ('RunnerView',)
