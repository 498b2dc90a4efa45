"""Admission of suspect requests: refused, or sent alone to a runner over all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.peering.peer_messages import ProbeUpdate, SuspectUpdate
from sesamepoint.front.quarantine.part_suspects import PartSuspects
from sesamepoint.front.quarantine.probes import Probe, Probes, ProbeState, RequestProbe
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.front.requests.retry_after import default_retry_after_s, max_hold_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.peering.peer_messages import SendQueue
    from sesamepoint.front.requests.job import Job

    RunnerPicker = Callable[[Job, Callable[[Incarnation], bool]], str | None]

# After an instance has announced a probe, it waits this long, in seconds, for
# competing claims, and for peers that saw the suspect parts answered: a message
# takes 5 ms, and ten times that to a busy instance.
CLAIM_WINDOW_S = 0.05
# A request that waits for a probe to end checks again after this time, in
# seconds, if no message announces the end.
RECHECK_S = 0.1


class ProbeAdmission:
    """Lets one request at a time be sent with a suspect content or part."""

    def __init__(
        self, instance: str, suspects: CrashSuspects, part_suspects: PartSuspects, send_queue: SendQueue
    ) -> None:
        """Start without probes at the instance of the given name."""
        self.probes = Probes(instance)
        self._instance = instance
        self._suspects = suspects
        self._part_suspects = part_suspects
        self._send_queue = send_queue

    def refuses(self, job: Job) -> bool:
        """Tell whether ``job`` is quarantined; if so, set when its caller may retry."""
        now = trio.current_time()
        if not self._suspects.quarantined(job.content_id) and not self._refuses_parts(job):
            return False
        part_quarantine = self._suspects.part_quarantine
        waits_s = [part_quarantine.left_s(part.key, now) for part in job.shared_parts]
        job.trace.unsent_cause = FailureCause.quarantined
        job.retry_after_s = max(self._suspects.quarantine_left_s(job.content_id, now), *waits_s, 0)
        return True

    def needs_probe(self, job: Job) -> bool:
        """Tell whether ``job`` may only be sent alone, for its content or for parts of its prompt."""
        suspects = self._suspects
        return (
            suspects.needs_probe(job.content_id)
            or bool(suspects.suspect_parts(job.shared_parts))
            or bool(suspects.quarantined_parts(job.shared_parts))
        )

    async def admit(self, job: Job, pick: RunnerPicker) -> bool:
        """Wait until ``job`` may be sent alone, or is no suspect any more; return False if it is refused."""
        with trio.move_on_after(max_hold_s(job.caller_left_s, job.first_output_left_s)):
            while not self.refuses(job):
                if not self.needs_probe(job) or await self._claim(job, pick):
                    return True
            return False
        job.trace.unsent_cause = FailureCause.behind_probe
        job.retry_after_s = default_retry_after_s(job.caller_left_s)
        return False

    def end_probe(self, job: Job) -> None:
        """Let other requests follow the probe of ``job``, if it was one."""
        if job.probe is not None:
            self._announce(job.probe.claims, ProbeState.ended)
            job.probe = None

    async def _claim(self, job: Job, pick: RunnerPicker) -> bool:
        """Try to claim a probe of ``job``; return False if its state has to be checked again."""
        names = (job.content_id, *self._part_suspects.claim_names(job.shared_parts))
        claimed = any(map(self.probes.request_claimed, names))
        runner = None if claimed else pick(job, self._probe_allowed)
        if runner is None:
            with trio.move_on_after(RECHECK_S):
                await self.probes.changed.wait()
            return False
        claims = tuple(Probe(name, runner) for name in names)
        self._announce(claims, ProbeState.claimed)
        try:
            await self._wait_for_claims(job)
        except BaseException:
            # Its caller has left.
            self._announce(claims, ProbeState.ended)
            raise
        if not self._may_start(job, claims):
            self._announce(claims, ProbeState.ended)
            return False
        self._start(job, claims)
        return True

    async def _wait_for_claims(self, job: Job) -> None:
        """Wait for competing claims of peers, unless a peer saw the suspect parts answered."""
        with trio.move_on_after(CLAIM_WINDOW_S):
            while self.needs_probe(job):
                await self.probes.changed.wait()

    def _may_start(self, job: Job, claims: tuple[Probe, ...]) -> bool:
        """Tell whether a claimed probe may be sent: no peer goes first, and what is suspect has not changed."""
        if not self.needs_probe(job) or not self.probes.has_precedence(claims):
            return False
        return not self._suspects.quarantined(job.content_id) and self._part_suspects.trial_allowed(job.shared_parts)

    def _start(self, job: Job, claims: tuple[Probe, ...]) -> None:
        refused = self._suspects.quarantined_parts(job.shared_parts)
        job.probe = RequestProbe(claims, trial=bool(refused))
        self._announce(claims, ProbeState.sent)
        self._part_suspects.spend_trial(refused)
        events.log_event(
            events.PROBE_STARTED,
            request=job.req.request_id,
            content=job.content_id,
            suspects=[claim.content_id for claim in claims],
            runner=job.probe.runner,
            runners_ended=self._suspects.end_count(job.content_id),
        )

    def _refuses_parts(self, job: Job) -> bool:
        """Tell whether ``job`` has a part in quarantine, and is not the one request that may try it now."""
        refused = self._suspects.quarantined_parts(job.shared_parts)
        if not refused:
            return False
        names = self._part_suspects.claim_names(refused)
        claimed = any(map(self.probes.request_claimed, names))
        return claimed or not self._part_suspects.trial_allowed(job.shared_parts)

    def _probe_allowed(self, incarnation: Incarnation) -> bool:
        """Tell whether a probe may go to a runner: the runner has not ended and runs no other probe."""
        return not self._suspects.has_ended(incarnation) and not self.probes.runner_claimed(incarnation.runner)

    def _announce(self, claims: tuple[Probe, ...], state: ProbeState) -> None:
        for each in claims:
            self.probes.note(self._instance, each, state)
        rows = tuple(ProbeUpdate(claim, state) for claim in claims)
        self._send_queue.enqueue(SuspectUpdate(self._instance, trials=rows))


__all__ = ('CLAIM_WINDOW_S', 'ProbeAdmission', 'RunnerPicker')
