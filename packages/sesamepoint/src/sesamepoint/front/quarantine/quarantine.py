"""Quarantine of poison requests (requests that end the runner that runs them), shared by all instances.

Without a quarantine a poison request was retried at a second engine, and again
by each instance to which its caller turned: four engines ended within half a
second, with all requests on them, and this went on while the caller retried.

When a runner ends, every request that ran on it becomes suspect; suspects keep
their retry. A request that ran on two runners that ended is sent as a probe: over
all instances one send of it at a time, to a runner that runs no other probe. So is
a request with a part of its prompt under which a runner has ended and that no whole
answer has cleared. After three ends, one of them under a probe, a request is
quarantined and every instance refuses it at once; after three ends, two of them
under probes, a part is. What is answered is no longer suspect.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.body_end.decision import Complete
from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
from sesamepoint_core.crash_attribution.evidence import scope_of
from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.serving.poison_requests import QUARANTINE_FROM_ENDS, Incarnation
from sesamepoint import events
from sesamepoint.front.requests.attempt_results import Relayed, RunFailed, Silent
from sesamepoint.front.peering.peer_messages import MAX_ROWS, RunnerEnd, SendQueue, SuspectUpdate
from sesamepoint.front.quarantine.abandoned_sends import AbandonedSends, SuspectSend
from sesamepoint.front.quarantine.part_suspects import PART_PREFIX, PartSuspects
from sesamepoint.front.quarantine.probe_admission import ProbeAdmission

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.requests.attempt_results import AttemptResult
    from sesamepoint.front.quarantine.probe_admission import RunnerPicker
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.requests.sent_runner import SentRunner
    from sesamepoint.platform.store import KeyedRecord

    AddGauge = Callable[[str, str, Callable[[], float]], None]

# After its start an instance holds requests no longer than this, in seconds,
# while it reads the list of quarantined requests, along with the other topics.
STARTUP_HOLD_S = 0.5
# Records queued for the store; more pile up only while the store is unreachable.
MAX_QUEUED_RECORDS = 64


class Quarantine:
    """Decides which requests may be sent, from the outcomes of earlier sends."""

    def __init__(self, instance: str) -> None:
        """Start without suspects at the instance of the given name."""
        self.suspects = CrashSuspects()
        self.send_queue = SendQueue()
        # Records to write to the store, as key and text; an empty text releases the request.
        self.record_queue = trio.open_memory_channel[tuple[str, bytes]](MAX_QUEUED_RECORDS)
        # Set while the store lacks records that it once had.
        self.records_missing = trio.Event()
        self._missing: set[str] = set()
        self._instance = instance
        self._list_loaded = trio.Event()
        self._abandoned = AbandonedSends()
        self.part_suspects = PartSuspects(instance, self.suspects, self.send_queue, self._enqueue_record)
        self._admission = ProbeAdmission(instance, self.suspects, self.part_suspects, self.send_queue)
        self.probes = self._admission.probes

    def watch(self, watch: AddGauge) -> None:
        """Show how many requests are suspect, and how many are refused."""
        suspects = self.suspects
        watch('sesamepoint_suspects', 'Requests under which a runner has ended.', lambda: len(suspects.all_suspect()))
        watch('sesamepoint_suspect_ends', 'Ends of runners that count against requests.', suspects.total_ends)
        watch('sesamepoint_quarantined', 'Requests that may not be sent.', lambda: len(suspects.all_quarantined()))
        watch(
            'sesamepoint_suspect_parts',
            'Parts of prompts under which a runner has ended and that no answer has cleared.',
            lambda: len(suspects.parts.all_suspect()),
        )
        watch(
            'sesamepoint_quarantined_parts',
            'Parts of prompts that may not be sent.',
            lambda: len(suspects.part_quarantine.all_verdicts()),
        )

    def refuses(self, job: Job) -> bool:
        """Tell whether ``job`` is quarantined; if so, set when its caller may retry."""
        return self._admission.refuses(job)

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
        if self.suspects.quarantined(job.content_id) or self._admission.needs_probe(job):
            return await self._admission.admit(job, pick)
        return True

    def record_attempt(self, job: Job, outcome: AttemptResult | None) -> None:
        """Record the outcome of an attempt of ``job``; None if its caller left or it wasn't sent."""
        for ended in job.ended_runners:
            self._note_runner_end(_send_of(job, ended))
        if isinstance(outcome, Relayed | RunFailed) and isinstance(outcome.end, Complete):
            self._note_served(job, outcome)
        last_runner = job.trace.last_runner
        if last_runner and (outcome is None or isinstance(outcome, Silent)):
            self._abandoned.add(_send_of(job, last_runner))
        if job.is_trial and not job.ended_runners and not isinstance(outcome, Relayed):
            self.part_suspects.repeat_trial(job.shared_parts)
        self._admission.end_probe(job)
        job.ended_runners.clear()

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
        self.part_suspects.on_update(update)
        for end in update.part_ends:
            self._blame_abandoned(end.incarnation)
        if update.parts_answered or update.harmful_parts:
            self.probes.notify()

    def announce_to(self, peer: str) -> None:
        """Send the newest suspects and quarantined requests to a peer that has just registered."""
        newest_ends = (
            RunnerEnd(content_id, incarnation)
            for content_id in reversed(self.suspects.all_suspect())
            for incarnation in self.suspects.ended_incarnations(content_id)
        )
        ends = tuple(islice(newest_ends, MAX_ROWS))
        quarantined = self.suspects.all_quarantined()[-MAX_ROWS:]
        part_ends, harmful_parts = self.part_suspects.newest()
        if ends or quarantined or part_ends or harmful_parts:
            update = SuspectUpdate(
                self._instance,
                ends=ends,
                quarantined=quarantined,
                part_ends=part_ends,
                harmful_parts=harmful_parts,
            )
            self.send_queue.enqueue(update, peer)

    def apply_records(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply the whole list of quarantined requests from the store."""
        for record in records:
            self.apply_record(record)
        self._list_loaded.set()

    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply the newest record of one request; return whether its quarantine changed."""
        self._missing.discard(record.key)
        if record.key.startswith(PART_PREFIX):
            return self.part_suspects.apply_record(record)
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
        known = self.part_suspects.names().union(self.suspects.all_quarantined())
        self._missing = known - {record.key for record in records}
        if self._missing:
            self.records_missing.set()

    def write_missing(self) -> None:
        """Write the missing records that no instance has written since the store was restored."""
        for content_id in self._missing.intersection(self.suspects.all_quarantined()):
            self._enqueue_record(content_id, msgspec.json.encode(self.suspects.ended_incarnations(content_id)))
        for name in self._missing.intersection(self.part_suspects.names()):
            self.part_suspects.write_record(name)
        self._missing.clear()
        self.records_missing = trio.Event()

    def release_expired(self) -> None:
        """End the quarantines that have expired."""
        for content_id in self.suspects.expired_quarantines(trio.current_time()):
            self._release(content_id, 'it has expired')

    def _note_runner_end(self, send: SuspectSend) -> None:
        """Count the end of a runner against a request and the parts of its prompt.

        A request under which runners have ended before, and that ran there alone, has caused the
        end and is quarantined.
        """
        content_id, incarnation = send.content_id, send.incarnation
        ends = self.suspects.note_end(content_id, incarnation)
        self.send_queue.enqueue(SuspectUpdate(self._instance, ends=(RunnerEnd(content_id, incarnation),)))
        events.log_event(
            events.RUNNER_ENDED,
            content=content_id,
            parts=[part.key for part in send.parts],
            runner=incarnation.runner,
            alone=send.alone,
            runners_ended=ends,
        )
        if send.alone and ends >= QUARANTINE_FROM_ENDS:
            self._quarantine(content_id)
        self.part_suspects.note_end(send)
        self._blame_abandoned(incarnation)

    def _blame_abandoned(self, incarnation: Incarnation) -> None:
        """Count the end of a runner against the requests that were abandoned there just before."""
        for send in self._abandoned.take(incarnation):
            self._note_runner_end(send)

    def _note_served(self, job: Job, outcome: Relayed | RunFailed) -> None:
        content_id = job.content_id
        if self.suspects.quarantined(content_id):
            # It was already sent when another send of it ended its runner.
            self._release(content_id, 'it was answered')
        if self.suspects.note_served(content_id):
            self.send_queue.enqueue(SuspectUpdate(self._instance, served=(content_id,)))
            events.log_event(events.SUSPECT_CLEARED, request=job.req.request_id, content=content_id)
        runner = job.trace.last_runner
        # A failure shows nothing: runners end when they begin to write an answer.
        if isinstance(outcome, Relayed) and runner and self.part_suspects.note_answered(job, _scope_of(job, runner)):
            self.probes.notify()

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


def _scope_of(job: Job, runner: SentRunner) -> str:
    model = job.req.prompt.model if job.req.prompt else ''
    return scope_of(job.service, model, runner.software_version)


def _send_of(job: Job, runner: SentRunner) -> SuspectSend:
    scope = _scope_of(job, runner)
    return SuspectSend(job.content_id, job.shared_parts, runner.incarnation, scope, alone=job.probe is not None)


def _decode_incarnations(record: KeyedRecord) -> tuple[Incarnation, ...]:
    try:
        return decode_json(record.text, tuple[Incarnation, ...])
    except UndecodableError as exc:
        events.log_event(events.RECORD_UNREADABLE, cause=f'quarantined request {record.key}: {exc}')
    return ()


__all__ = ('Quarantine',)
