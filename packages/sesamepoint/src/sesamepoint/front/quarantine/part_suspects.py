"""Suspect and harmful parts of prompts: the evidence of this instance, and its messages to peers and the store."""

from __future__ import annotations

from functools import partial
from itertools import islice
from typing import TYPE_CHECKING
from zlib import crc32

import msgspec
import trio

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.crash_attribution.evidence import PartAnswer, PartEnd
from sesamepoint_core.crash_attribution.part_quarantine import MAX_REPEATED, PartVerdict
from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint import events
from sesamepoint.front.peering.peer_messages import MAX_ROWS, SuspectUpdate
from sesamepoint.front.quarantine.active_sends import ActiveSends

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
    from sesamepoint_core.serving.prompt import Part
    from sesamepoint.front.peering.peer_messages import SendQueue
    from sesamepoint.front.quarantine.abandoned_sends import SuspectSend
    from sesamepoint.front.requests.job import Job
    from sesamepoint.platform.store import KeyedRecord

    EnqueueRecord = Callable[[str, bytes], None]

# Begins the names of parts, beside the content ids of whole requests, in probes and in the list of the store.
PART_PREFIX = 'part:'
# Most parts that this instance has reported as suspect and that no answer has cleared.
MAX_ANNOUNCED = 1024


def part_name(key: str) -> str:
    """Return the name of a part beside the content ids of requests."""
    return f'{PART_PREFIX}{key}'


class PartSuspects:
    """Keeps the evidence on parts in step with the peers."""

    def __init__(
        self, instance: str, suspects: CrashSuspects, send_queue: SendQueue, enqueue_record: EnqueueRecord
    ) -> None:
        """Send from the instance of the given name; records go to the store by ``enqueue_record``."""
        self.active = ActiveSends()
        self._instance = instance
        self._suspects = suspects
        self._send_queue = send_queue
        self._enqueue_record = enqueue_record
        # Returns the names of the registered peers.
        self.peer_names: Callable[[], Sequence[str]] = list
        # Suspect parts that this instance reported to its peers; it reports to them as well when they are cleared.
        self._announced: dict[PartAnswer, None] = {}

    def note_end(self, send: SuspectSend) -> None:
        """Count the end of a runner against the parts of a send that no answer has cleared."""
        parts = self._suspects.parts.candidates(send.parts, send.scope)
        ends = tuple(PartEnd(part.key, part.tokens, send.incarnation, send.scope, send.alone) for part in parts)
        for part in parts:
            self._announced[PartAnswer.from_part(part, send.scope)] = None
            drop_oldest(self._announced, MAX_ANNOUNCED)
        if ends:
            self._send_queue.enqueue(SuspectUpdate(self._instance, part_ends=ends))
            self._note(ends)

    def note_answered(self, job: Job, scope: str) -> bool:
        """Note that a request was answered whole: none of its parts ends runners; return whether any was suspect."""
        suspect_keys = {answer.key for answer in self._suspects.parts.note_answered(job.shared_parts, scope)}
        for part in job.shared_parts:
            answer = PartAnswer.from_part(part, scope)
            if part.key in self._suspects.part_quarantine and (job.probe or self._suspects.refutes(answer)):
                self.release(part.key, 'it was answered')
                suspect_keys.add(part.key)
            if part.key in suspect_keys:
                self._tell_cleared(answer)
                events.log_event(events.PART_CLEARED, request=job.req.request_id, part=part.key, scope=scope)
        return bool(suspect_keys)

    def on_update(self, update: SuspectUpdate) -> None:
        """Handle an update from a peer, and reply which of its suspect parts were answered here."""
        known = tuple(filter(self._suspects.parts.is_cleared, map(_answer_to, update.part_ends)))
        if known:
            self._send_queue.enqueue(SuspectUpdate(self._instance, parts_answered=known), update.entry)
        self._note(update.part_ends)
        for answer in update.parts_answered:
            self._on_answered(answer)
        for verdict in update.harmful_parts:
            self._apply(verdict)

    def newest(self) -> tuple[tuple[PartEnd, ...], tuple[PartVerdict, ...]]:
        """Return the newest ends of suspect parts, and the newest verdicts, for a peer that has just registered."""
        parts = self._suspects.parts
        ends = (end for key in reversed(parts.all_suspect()) for end in parts.ends_of(key))
        return tuple(islice(ends, MAX_ROWS)), self._suspects.part_quarantine.all_verdicts()[-MAX_ROWS:]

    def names(self) -> set[str]:
        """Return the names of the parts in quarantine."""
        return {part_name(verdict.key) for verdict in self._suspects.part_quarantine.all_verdicts()}

    def claim_names(self, parts: tuple[Part, ...]) -> tuple[str, ...]:
        """Return the names of the parts for which a request needs a probe or a trial."""
        suspects = self._suspects
        keys = {part.key for part in (*suspects.suspect_parts(parts), *suspects.quarantined_parts(parts))}
        return tuple(part_name(key) for key in sorted(keys))

    def trial_allowed(self, parts: Sequence[Part]) -> bool:
        """Return whether a request with ``parts`` in quarantine may be sent alone now, as a trial, from this instance.

        One instance, chosen by a hash over the list of instances, tries a part: messages between instances may be
        lost, and the users accept three more sends of all instances together.
        """
        refused = self._suspects.quarantined_parts(parts)
        if not self._suspects.trial_due(parts, trio.current_time()):
            return False
        names = (self._instance, *self.peer_names())
        return all(max(names, key=partial(_draw, part.key)) == self._instance for part in refused)

    def spend_trial(self, parts: Iterable[Part]) -> None:
        """Count a trial of each part, here, at the peers and in the store, before it is sent."""
        for part in parts:
            verdict = self._suspects.part_quarantine.verdict_on(part.key)
            if verdict is not None:
                spent = verdict._replace(trials=verdict.trials + 1)
                self._suspects.quarantine_part(spent, trio.current_time())
                self._announce(spent)
                events.log_event(events.PART_TRIAL_STARTED, part=part.key, trials=spent.trials)

    def repeat_trial(self, parts: Iterable[Part]) -> None:
        """Let a trial that showed nothing be followed by another one."""
        for part in parts:
            verdict = self._suspects.part_quarantine.verdict_on(part.key)
            if verdict is not None and verdict.repeated < MAX_REPEATED:
                repeated = verdict._replace(repeated=verdict.repeated + 1)
                self._suspects.quarantine_part(repeated, trio.current_time())
                self._announce(repeated)

    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply the newest record of a part; return whether its quarantine changed."""
        key = record.key.removeprefix(PART_PREFIX)
        if not record.text:
            return self._suspects.release_part(key)
        try:
            verdict = decode_json(record.text, PartVerdict)
        except UndecodableError as exc:
            events.log_event(events.RECORD_UNREADABLE, cause=f'quarantined part {record.key}: {exc}')
            return False
        return verdict.key == key and self._apply(verdict)

    def write_record(self, name: str) -> None:
        """Write the record of a part again."""
        verdict = self._suspects.part_quarantine.verdict_on(name.removeprefix(PART_PREFIX))
        if verdict is not None:
            self._enqueue_record(name, msgspec.json.encode(verdict))

    def release(self, key: str, cause: str) -> None:
        """End the quarantine of a part, here and in the store."""
        if self._suspects.release_part(key):
            self._enqueue_record(part_name(key), b'')
            events.log_event(events.PART_RELEASED, part=key, cause=cause)

    def _note(self, ends: Sequence[PartEnd]) -> None:
        verdicts = self._suspects.note_part_ends(ends, trio.current_time())
        for end in ends:
            if not self._suspects.parts.is_cleared(_answer_to(end)):
                self._log_suspect(end)
        for verdict in verdicts:
            self._announce(verdict)
            self._log_verdict(verdict)

    def _log_suspect(self, end: PartEnd) -> None:
        events.log_event(
            events.PART_SUSPECT,
            part=end.key,
            runner=end.incarnation.runner,
            scope=end.scope,
            alone=end.alone,
            runners_ended=len(self._suspects.parts.ends_of(end.key)),
        )

    def _apply(self, verdict: PartVerdict) -> bool:
        """Apply the verdict of a peer or of the store; return whether it was new."""
        is_new = verdict.key not in self._suspects.part_quarantine
        self._drop_surplus(self._suspects.quarantine_part(verdict, trio.current_time()))
        if is_new:
            self._log_verdict(verdict)
        return is_new

    def _announce(self, verdict: PartVerdict) -> None:
        self._send_queue.enqueue(SuspectUpdate(self._instance, harmful_parts=(verdict,)))
        self.write_record(part_name(verdict.key))

    def _log_verdict(self, verdict: PartVerdict) -> None:
        runners = [end.incarnation.runner for end in verdict.ends]
        events.log_event(events.PART_QUARANTINED, part=verdict.key, group=list(verdict.group), runners=runners)
        left_s = self._suspects.part_quarantine.left_s(verdict.key, trio.current_time())
        self.active.withdraw(verdict.key, left_s)

    def _on_answered(self, answer: PartAnswer) -> None:
        was_suspect = self._suspects.parts.clear(answer)
        if self._suspects.refutes(answer):
            self.release(answer.key, 'a peer saw it answered')
        if was_suspect and answer in self._announced:
            self._tell_cleared(answer)
            events.log_event(events.PART_CLEARED, request='', part=answer.key, scope=answer.scope)

    def _tell_cleared(self, answer: PartAnswer) -> None:
        self._announced.pop(answer, None)
        self._send_queue.enqueue(SuspectUpdate(self._instance, parts_answered=(answer,)))

    def _drop_surplus(self, keys: tuple[str, ...]) -> None:
        for key in keys:
            self._enqueue_record(part_name(key), b'')
            events.log_event(events.PART_RELEASED, part=key, cause='newer parts took its place')


def _answer_to(end: PartEnd) -> PartAnswer:
    """Return the answer that would refute an end."""
    return PartAnswer(end.key, end.tokens, end.scope)


def _draw(key: str, instance: str) -> int:
    return crc32(f'{key} {instance}'.encode())


__all__ = ('PART_PREFIX', 'PartSuspects', 'part_name')
