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

from sesamepoint_core.serving.suspects import Start, Suspects
from sesamepoint import events
from sesamepoint.front.cause import Cause
from sesamepoint.front.notices import MAX_ROWS, EndNote, Notice, Outbox, TrialNote
from sesamepoint.front.results import Relayed, RunFailed, Silent
from sesamepoint.front.return_time import hold_s, when_unknown_s
from sesamepoint.front.trials import Trial, Trials, TrialState

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.job import Job
    from sesamepoint.front.results import AttemptResult
    from sesamepoint.platform.store import KeyedRecord

    Picker = Callable[[Job, Callable[[Start], bool]], str | None]
    Watch = Callable[[str, str, Callable[[], float]], None]

# After an instance has announced a probe, it waits this long, in seconds, for
# competing claims: a message takes 5 ms, and ten times that to a busy instance.
CLAIM_S = 0.05
# A request that waits for a probe to end checks again after this time, in
# seconds, if no message announces the end.
LOOK_S = 0.1
# After its start an instance holds requests no longer than this, in seconds,
# while it reads the list of quarantined requests, along with the other topics.
KNOWN_S = 0.5
# A request that was abandoned, because its caller left or its runner was silent,
# becomes suspect if that runner ends within this time, in seconds. Poison requests
# ended their runners 0.05 to 0.15 s after they began to run.
LEFT_S = 0.5
# Recently abandoned requests that are kept; in a burst some hundred callers
# leave per second.
MAX_LEFT = 256
# Records queued for the store; more pile up only while the store is unreachable.
MAX_WAITING = 64


class _Left(NamedTuple):
    """Abandoned send; ``alone`` if it was a probe."""

    at: float
    content_id: str
    start: Start
    alone: bool


class Quarantine:
    """Decides which requests may be sent, from the outcomes of earlier sends."""

    def __init__(self, entry: str) -> None:
        """Start without suspects at the instance of the given name."""
        self.suspects = Suspects()
        self.trials = Trials(entry)
        self.outbox = Outbox()
        # Records to write to the store, as key and text; an empty text releases the request.
        self.records = trio.open_memory_channel[tuple[str, bytes]](MAX_WAITING)
        # Set while the store lacks records that it once had.
        self.lacking = trio.Event()
        self._lacking: set[str] = set()
        self._entry = entry
        self._known = trio.Event()
        self._left: deque[_Left] = deque(maxlen=MAX_LEFT)

    def watch(self, watch: Watch) -> None:
        """Show how many requests are suspect, and how many are refused."""
        suspects = self.suspects
        watch('sesamepoint_suspects', 'Requests under which a runner has ended.', lambda: len(suspects.all_suspect()))
        watch('sesamepoint_suspect_ends', 'Ends of runners that count against requests.', suspects.count_ends)
        watch('sesamepoint_quarantined', 'Requests that may not be sent.', lambda: len(suspects.all_quarantined()))

    def refuses(self, job: Job) -> bool:
        """Tell whether ``job`` is quarantined; if so, set when its caller may retry."""
        if not self.suspects.quarantined(job.content_id):
            return False
        job.notes.held_back = Cause.quarantined
        job.retry_after_s = self.suspects.left_s(job.content_id, trio.current_time())
        return True

    async def admit(self, job: Job, pick: Picker) -> bool:
        """Wait until ``job`` may be sent; return False if it is refused.

        Parameters
        ----------
        pick
            Returns a runner for a probe among those that meet a condition; None
            if there is none.
        """
        if not self._known.is_set():
            with trio.move_on_after(KNOWN_S):
                await self._known.wait()
            self._known.set()
        if self.suspects.quarantined(job.content_id) or self.suspects.needs_trial(job.content_id):
            return await self._admit_suspect(job, pick)
        return True

    def learn(self, job: Job, found: AttemptResult | None) -> None:
        """Record the outcome of an attempt of ``job``; None if its caller left or it wasn't sent."""
        for start in job.ended:
            self._note_end(job.content_id, start, alone=job.trial is not None)
        if isinstance(found, Relayed | RunFailed):
            self._note_served(job)
        if job.tried and (found is None or isinstance(found, Silent)):
            newest = next(reversed(job.tried.values()))
            self._left.append(_Left(trio.current_time(), job.content_id, newest, job.trial is not None))
        if job.trial:
            self._tell(job.trial, TrialState.ended)
        job.ended.clear()
        job.trial = None

    def heard(self, notice: Notice) -> None:
        """Handle an update from a peer."""
        for content_id, start in notice.ends:
            self.suspects.note_end(content_id, start)
            self._note_left(start)
        for probe_update in notice.trials:
            self.trials.note(notice.entry, probe_update.trial, probe_update.state)
        for content_id in notice.served:
            self.suspects.note_served(content_id)
        for content_id in notice.quarantined:
            self.suspects.quarantine(content_id, trio.current_time())

    def tell_newcomer(self, entry: str) -> None:
        """Send the newest suspects and quarantined requests to a peer that has just registered."""
        newest_ends = (
            EndNote(content_id, start)
            for content_id in reversed(self.suspects.all_suspect())
            for start in self.suspects.starts(content_id)
        )
        ends = tuple(islice(newest_ends, MAX_ROWS))
        quarantined = self.suspects.all_quarantined()[-MAX_ROWS:]
        if ends or quarantined:
            self.outbox.tell(Notice(self._entry, ends=ends, quarantined=quarantined), entry)

    def take_records(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply the whole list of quarantined requests from the store."""
        for record in records:
            self.take_record(record)
        self._known.set()

    def take_record(self, record: KeyedRecord) -> bool:
        """Apply the newest record of one request; return whether its quarantine changed."""
        self._lacking.discard(record.key)
        if not record.text:
            return self.suspects.release(record.key)
        if self.suspects.quarantined(record.key):
            return False
        starts = _starts(record)
        for start in starts:
            self.suspects.note_end(record.key, start)
        if starts:
            self.suspects.quarantine(record.key, trio.current_time())
        return bool(starts)

    def restore(self, records: tuple[KeyedRecord, ...]) -> None:
        """Note which records are missing in a store that was restored from an older copy."""
        self._lacking = set(self.suspects.all_quarantined()) - {record.key for record in records}
        if self._lacking:
            self.lacking.set()

    def write_lacking(self) -> None:
        """Write the missing records that no instance has written since the store was restored."""
        for content_id in self._lacking.intersection(self.suspects.all_quarantined()):
            self._put(content_id, msgspec.json.encode(self.suspects.starts(content_id)))
        self._lacking.clear()
        self.lacking = trio.Event()

    def release_lapsed(self) -> None:
        """End the quarantines that have expired."""
        for content_id in self.suspects.lapsed(trio.current_time()):
            self._release(content_id, 'it has expired')

    async def _admit_suspect(self, job: Job, pick: Picker) -> bool:
        with trio.move_on_after(hold_s(job.caller_left_s, job.first_left_s)):
            while not self.refuses(job):
                if not self.suspects.needs_trial(job.content_id) or await self._claim(job, pick):
                    return True
            return False
        job.notes.held_back = Cause.behind_trial
        job.retry_after_s = when_unknown_s(job.caller_left_s)
        return False

    async def _claim(self, job: Job, pick: Picker) -> bool:
        """Try to claim a probe of ``job``; return False if its state has to be checked again."""
        runner = None if self.trials.tried(job.content_id) else pick(job, self._allows)
        if runner is None:
            with trio.move_on_after(LOOK_S):
                await self.trials.changed.wait()
            return False
        probe = Trial(job.content_id, runner)
        self._tell(probe, TrialState.claimed)
        try:
            await trio.sleep(CLAIM_S)
        except BaseException:
            # Its caller has left.
            self._tell(probe, TrialState.ended)
            raise
        if not self.trials.won(probe) or self.suspects.quarantined(job.content_id):
            self._tell(probe, TrialState.ended)
            return False
        job.trial = probe
        self._tell(probe, TrialState.sent)
        ends = self.suspects.ends(job.content_id)
        events.log_event(
            events.TRIAL_BEGUN,
            request=job.req.request_id,
            content=job.content_id,
            runner=runner,
            runners_ended=ends,
        )
        return True

    def _allows(self, start: Start) -> bool:
        """Tell whether a probe may go to a runner: the runner has not ended and runs no other probe."""
        return not self.suspects.has_ended(start) and not self.trials.taken(start.runner)

    def _tell(self, trial: Trial, state: TrialState) -> None:
        self.trials.note(self._entry, trial, state)
        self.outbox.tell(Notice(self._entry, trials=(TrialNote(trial, state),)))

    def _note_end(self, content_id: str, start: Start, *, alone: bool) -> None:
        """Count the end of a runner against a request.

        A request that ran there ``alone`` has caused the end and is quarantined.
        """
        ends = self.suspects.note_end(content_id, start)
        self.outbox.tell(Notice(self._entry, ends=(EndNote(content_id, start),)))
        events.log_event(events.RUNNER_ENDED, content=content_id, runner=start.runner, alone=alone, runners_ended=ends)
        if alone:
            self._quarantine(content_id)
        self._note_left(start)

    def _note_left(self, start: Start) -> None:
        """Count the end of a runner against the requests that were abandoned there just before.

        Their connections were closed by then, so their attempts did not fail.
        Without this, a poison request whose callers leave early and retry
        would be sent again and again.
        """
        since = trio.current_time() - LEFT_S
        abandoned = [send for send in self._left if send.start == start and send.at >= since]
        for send in abandoned:
            self._left.remove(send)
        for send in abandoned:
            self._note_end(send.content_id, start, alone=send.alone)

    def _note_served(self, job: Job) -> None:
        content_id = job.content_id
        if self.suspects.quarantined(content_id):
            # It was already sent when another send of it ended its runner.
            self._release(content_id, 'it was answered')
        if self.suspects.note_served(content_id):
            self.outbox.tell(Notice(self._entry, served=(content_id,)))
            events.log_event(events.SUSPECT_SERVED, request=job.req.request_id, content=content_id)

    def _quarantine(self, content_id: str) -> None:
        self.suspects.quarantine(content_id, trio.current_time())
        self.outbox.tell(Notice(self._entry, quarantined=(content_id,)))
        starts = self.suspects.starts(content_id)
        self._put(content_id, msgspec.json.encode(starts))
        events.log_event(events.QUARANTINED, content=content_id, runners=[start.runner for start in starts])

    def _release(self, content_id: str, cause: str) -> None:
        if self.suspects.release(content_id):
            self._put(content_id, b'')
            events.log_event(events.QUARANTINE_ENDED, content=content_id, cause=cause)

    def _put(self, content_id: str, text: bytes) -> None:
        try:
            self.records[0].send_nowait((content_id, text))
        except trio.WouldBlock:
            events.log_event(events.QUARANTINE_UNWRITTEN, content=content_id, cause='the queue of records is full')


def _starts(record: KeyedRecord) -> tuple[Start, ...]:
    try:
        return msgspec.json.decode(record.text, type=tuple[Start, ...])
    except msgspec.DecodeError as exc:
        events.log_event(events.RECORD_UNREADABLE, cause=f'quarantined request {record.key}: {exc}')
    return ()


__all__ = ('Quarantine',)
