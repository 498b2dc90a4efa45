"""Quarantine of poison requests (requests that end the runner that runs them), shared by all instances.

Without a quarantine a poison request was retried at a second engine, and again
by each instance to which its caller turned: four engines ended within half a
second, with all requests on them, and this went on while the caller retried.

When a runner ends, every request that ran on it becomes suspect; suspects keep
their retry. A request that ran on two runners that ended is sent as a probe: over
all instances one send of it at a time, to a runner that runs no other probe. If
that runner ends too, the request is quarantined and every instance refuses it
at once. If the request is answered, it is no longer suspect.
"""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from sesamepoint_core.body_end.decision import Complete
from sesamepoint_core.serving.poison_requests import Incarnation, SuspectRequests
from sesamepoint import events
from sesamepoint.front.requests.attempt_results import Relayed, RunFailed, Silent
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.front.peering.peer_messages import MAX_ROWS, ProbeUpdate, RunnerEnd, SendQueue, SuspectUpdate
from sesamepoint.front.quarantine.probes import Probe, ProbeState, Probes
from sesamepoint.front.requests.retry_after import default_retry_after_s, max_hold_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.requests.attempt_results import AttemptResult
    from sesamepoint.front.requests.job import Job
    from sesamepoint.platform.store import KeyedRecord

    RunnerPicker = Callable[[Job, Callable[[Incarnation], bool]], str | None]
    AddGauge = Callable[[str, str, Callable[[], float]], None]

# After an instance has announced a probe, it waits this long, in seconds, for
# competing claims: a message takes 5 ms, and ten times that to a busy instance.
CLAIM_WINDOW_S = 0.05
# A request that waits for a probe to end checks again after this time, in
# seconds, if no message announces the end.
RECHECK_S = 0.1
# After its start an instance holds requests no longer than this, in seconds,
# while it reads the list of quarantined requests, along with the other topics.
STARTUP_HOLD_S = 0.5
# A request that was abandoned, because its caller left or its runner was silent,
# becomes suspect if that runner ends within this time, in seconds. Poison requests
# ended their runners 0.05 to 0.15 s after they began to run.
ABANDONED_WINDOW_S = 0.5
# Recently abandoned requests that are kept; in a burst some hundred callers
# leave per second.
MAX_ABANDONED = 256
# Records queued for the store; more pile up only while the store is unreachable.
MAX_QUEUED_RECORDS = 64


class _AbandonedSend(NamedTuple):
    """Abandoned send; ``alone`` if it was a probe."""

    abandoned_at: float
    content_id: str
    incarnation: Incarnation
    alone: bool


class Quarantine:
    """Decides which requests may be sent, from the outcomes of earlier sends."""

    def __init__(self, instance: str) -> None:
        """Start without suspects at the instance of the given name."""
        self.suspects = SuspectRequests()
        self.probes = Probes(instance)
        self.send_queue = SendQueue()
        # Records to write to the store, as key and text; an empty text releases the request.
        self.record_queue = trio.open_memory_channel[tuple[str, bytes]](MAX_QUEUED_RECORDS)
        # Set while the store lacks records that it once had.
        self.records_missing = trio.Event()
        self._missing: set[str] = set()
        self._instance = instance
        self._list_loaded = trio.Event()
        self._abandoned: deque[_AbandonedSend] = deque(maxlen=MAX_ABANDONED)

    def watch(self, watch: AddGauge) -> None:
        """Show how many requests are suspect, and how many are refused."""
        suspects = self.suspects
        watch('sesamepoint_suspects', 'Requests under which a runner has ended.', lambda: len(suspects.all_suspect()))
        watch('sesamepoint_suspect_ends', 'Ends of runners that count against requests.', suspects.total_ends)
        watch('sesamepoint_quarantined', 'Requests that may not be sent.', lambda: len(suspects.all_quarantined()))

    def refuses(self, job: Job) -> bool:
        """Tell whether ``job`` is quarantined; if so, set when its caller may retry."""
        if not self.suspects.quarantined(job.content_id):
            return False
        job.trace.unsent_cause = FailureCause.quarantined
        job.retry_after_s = self.suspects.quarantine_left_s(job.content_id, trio.current_time())
        return True

    async def admit(self, job: Job, pick: RunnerPicker) -> bool:
        """Wait until ``job`` may be sent; return False if it is refused.

        Parameters
        ----------
        pick
            Returns a runner for a probe among those that meet a condition; None
            if there is none.
        """
        if not self._list_loaded.is_set():
            with trio.move_on_after(STARTUP_HOLD_S):
                await self._list_loaded.wait()
            self._list_loaded.set()
        if self.suspects.quarantined(job.content_id) or self.suspects.needs_probe(job.content_id):
            return await self._admit_suspect(job, pick)
        return True

    def record_attempt(self, job: Job, outcome: AttemptResult | None) -> None:
        """Record the outcome of an attempt of ``job``; None if its caller left or it wasn't sent."""
        for incarnation in job.ended_incarnations:
            self._note_runner_end(job.content_id, incarnation, alone=job.probe is not None)
        if isinstance(outcome, Relayed | RunFailed) and isinstance(outcome.end, Complete):
            self._note_served(job)
        if job.tried_runners and (outcome is None or isinstance(outcome, Silent)):
            newest = next(reversed(job.tried_runners.values()))
            self._abandoned.append(_AbandonedSend(trio.current_time(), job.content_id, newest, job.probe is not None))
        if job.probe:
            self._announce_probe(job.probe, ProbeState.ended)
        job.ended_incarnations.clear()
        job.probe = None

    def on_suspect_update(self, update: SuspectUpdate) -> None:
        """Handle an update from a peer."""
        for content_id, incarnation in update.ends:
            self.suspects.note_end(content_id, incarnation)
            self._blame_abandoned(incarnation)
        for probe_update in update.trials:
            self.probes.note(update.entry, probe_update.trial, probe_update.state)
        for content_id in update.served:
            self.suspects.note_served(content_id)
        for content_id in update.quarantined:
            self.suspects.quarantine(content_id, trio.current_time())

    def announce_to(self, peer: str) -> None:
        """Send the newest suspects and quarantined requests to a peer that has just registered."""
        newest_ends = (
            RunnerEnd(content_id, incarnation)
            for content_id in reversed(self.suspects.all_suspect())
            for incarnation in self.suspects.ended_incarnations(content_id)
        )
        ends = tuple(islice(newest_ends, MAX_ROWS))
        quarantined = self.suspects.all_quarantined()[-MAX_ROWS:]
        if ends or quarantined:
            self.send_queue.enqueue(SuspectUpdate(self._instance, ends=ends, quarantined=quarantined), peer)

    def apply_records(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply the whole list of quarantined requests from the store."""
        for record in records:
            self.apply_record(record)
        self._list_loaded.set()

    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply the newest record of one request; return whether its quarantine changed."""
        self._missing.discard(record.key)
        if not record.text:
            return self.suspects.release(record.key)
        if self.suspects.quarantined(record.key):
            return False
        incarnations = _decode_incarnations(record)
        for incarnation in incarnations:
            self.suspects.note_end(record.key, incarnation)
        if incarnations:
            self.suspects.quarantine(record.key, trio.current_time())
        return bool(incarnations)

    def note_missing(self, records: tuple[KeyedRecord, ...]) -> None:
        """Note which records are missing in a store that was restored from an older copy."""
        self._missing = set(self.suspects.all_quarantined()) - {record.key for record in records}
        if self._missing:
            self.records_missing.set()

    def write_missing(self) -> None:
        """Write the missing records that no instance has written since the store was restored."""
        for content_id in self._missing.intersection(self.suspects.all_quarantined()):
            self._enqueue_record(content_id, msgspec.json.encode(self.suspects.ended_incarnations(content_id)))
        self._missing.clear()
        self.records_missing = trio.Event()

    def release_expired(self) -> None:
        """End the quarantines that have expired."""
        for content_id in self.suspects.expired_quarantines(trio.current_time()):
            self._release(content_id, 'it has expired')

    async def _admit_suspect(self, job: Job, pick: RunnerPicker) -> bool:
        with trio.move_on_after(max_hold_s(job.caller_left_s, job.first_output_left_s)):
            while not self.refuses(job):
                if not self.suspects.needs_probe(job.content_id) or await self._claim_probe(job, pick):
                    return True
            return False
        job.trace.unsent_cause = FailureCause.behind_probe
        job.retry_after_s = default_retry_after_s(job.caller_left_s)
        return False

    async def _claim_probe(self, job: Job, pick: RunnerPicker) -> bool:
        """Try to claim a probe of ``job``; return False if its state has to be checked again."""
        runner = None if self.probes.request_claimed(job.content_id) else pick(job, self._probe_allowed)
        if runner is None:
            with trio.move_on_after(RECHECK_S):
                await self.probes.changed.wait()
            return False
        probe = Probe(job.content_id, runner)
        self._announce_probe(probe, ProbeState.claimed)
        try:
            await trio.sleep(CLAIM_WINDOW_S)
        except BaseException:
            # Its caller has left.
            self._announce_probe(probe, ProbeState.ended)
            raise
        if not self.probes.has_precedence(probe) or self.suspects.quarantined(job.content_id):
            self._announce_probe(probe, ProbeState.ended)
            return False
        job.probe = probe
        self._announce_probe(probe, ProbeState.sent)
        ends = self.suspects.end_count(job.content_id)
        events.log_event(
            events.PROBE_STARTED,
            request=job.req.request_id,
            content=job.content_id,
            runner=runner,
            runners_ended=ends,
        )
        return True

    def _probe_allowed(self, incarnation: Incarnation) -> bool:
        """Tell whether a probe may go to a runner: the runner has not ended and runs no other probe."""
        return not self.suspects.has_ended(incarnation) and not self.probes.runner_claimed(incarnation.runner)

    def _announce_probe(self, probe: Probe, state: ProbeState) -> None:
        self.probes.note(self._instance, probe, state)
        self.send_queue.enqueue(SuspectUpdate(self._instance, trials=(ProbeUpdate(probe, state),)))

    def _note_runner_end(self, content_id: str, incarnation: Incarnation, *, alone: bool) -> None:
        """Count the end of a runner against a request.

        A request that ran there ``alone`` has caused the end and is quarantined.
        """
        ends = self.suspects.note_end(content_id, incarnation)
        self.send_queue.enqueue(SuspectUpdate(self._instance, ends=(RunnerEnd(content_id, incarnation),)))
        events.log_event(
            events.RUNNER_ENDED, content=content_id, runner=incarnation.runner, alone=alone, runners_ended=ends
        )
        if alone:
            self._quarantine(content_id)
        self._blame_abandoned(incarnation)

    def _blame_abandoned(self, incarnation: Incarnation) -> None:
        """Count the end of a runner against the requests that were abandoned there just before.

        Their connections were closed by then, so their attempts did not fail.
        Without this, a poison request whose callers leave early and retry
        would be sent again and again.
        """
        since = trio.current_time() - ABANDONED_WINDOW_S
        abandoned = [send for send in self._abandoned if send.incarnation == incarnation and send.abandoned_at >= since]
        for send in abandoned:
            self._abandoned.remove(send)
        for send in abandoned:
            self._note_runner_end(send.content_id, incarnation, alone=send.alone)

    def _note_served(self, job: Job) -> None:
        content_id = job.content_id
        if self.suspects.quarantined(content_id):
            # It was already sent when another send of it ended its runner.
            self._release(content_id, 'it was answered')
        if self.suspects.note_served(content_id):
            self.send_queue.enqueue(SuspectUpdate(self._instance, served=(content_id,)))
            events.log_event(events.SUSPECT_CLEARED, request=job.req.request_id, content=content_id)

    def _quarantine(self, content_id: str) -> None:
        self.suspects.quarantine(content_id, trio.current_time())
        self.send_queue.enqueue(SuspectUpdate(self._instance, quarantined=(content_id,)))
        incarnations = self.suspects.ended_incarnations(content_id)
        self._enqueue_record(content_id, msgspec.json.encode(incarnations))
        events.log_event(
            events.QUARANTINED, content=content_id, runners=[incarnation.runner for incarnation in incarnations]
        )

    def _release(self, content_id: str, cause: str) -> None:
        if self.suspects.release(content_id):
            self._enqueue_record(content_id, b'')
            events.log_event(events.QUARANTINE_ENDED, content=content_id, cause=cause)

    def _enqueue_record(self, content_id: str, text: bytes) -> None:
        try:
            self.record_queue[0].send_nowait((content_id, text))
        except trio.WouldBlock:
            events.log_event(events.QUARANTINE_NOT_STORED, content=content_id, cause='the queue of records is full')


def _decode_incarnations(record: KeyedRecord) -> tuple[Incarnation, ...]:
    try:
        return msgspec.json.decode(record.text, type=tuple[Incarnation, ...])
    except msgspec.DecodeError as exc:
        events.log_event(events.RECORD_UNREADABLE, cause=f'quarantined request {record.key}: {exc}')
    return ()


__all__ = ('Quarantine',)
