"""Log of the duty in the platform's store: the lease and the newest usage report."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, TypeVar

import trio

from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.duty.lease import LeaseRecord, LogView
from sesamepoint_core.duty.report_schedule import Report
from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint import events
from sesamepoint.platform.store import HistoryGoneError
from sesamepoint.platform.wire_names import DUTY_TOPIC, LEASE_KEY, REPORT_KEY

if TYPE_CHECKING:
    from sesamepoint_core.duty.lease import Lease
    from sesamepoint.front.clocks import Clock
    from sesamepoint.platform.store import StoreClient

_Kind = TypeVar('_Kind')


class AppendOutcome(enum.Enum):
    """Outcome of an append; an unanswered record may be in the log, or get there later."""

    taken = 'taken'
    refused = 'refused'
    unanswered = 'unanswered'


class DutyLog:
    """Reads the log, appends records under one lease, and updates the lease."""

    def __init__(self, lease: Lease, store: StoreClient, clock: Clock) -> None:
        """Start without having read the log."""
        # The newest report in the log when it was last read.
        self.report: Report | None = None
        self._lease = lease
        self._store = store
        self._clock = clock
        self._failing = False
        self._appending = trio.Lock()

    async def refresh(self) -> bool:
        """Read the lease and the newest report; return False if the store did not answer."""
        try:
            listing = await self._store.read_newest(DUTY_TOPIC)
        except (PlatformUnavailableError, HistoryGoneError) as exc:
            self._note_store_state(str(exc))
            return False
        self._note_store_state('')
        texts = {record.key: record.text for record in listing.records}
        self.report = _decode(texts.get(REPORT_KEY), Report)
        old_fence = self._lease.fence
        holding = _decode(texts.get(LEASE_KEY), LeaseRecord)
        self._lease.on_read(LogView(listing.epoch, listing.end, holding), self._clock.steady())
        if old_fence is not None and self._lease.fence is None:
            events.log_event(
                events.DUTY_RELEASED, fence=old_fence, holder=holding.holder if holding else '', era=listing.epoch
            )
        return True

    async def append(self, key: str, text: bytes, holding: LeaseRecord | None = None) -> AppendOutcome:
        """Append a record at the known end of the log; an accepted record renews the lease.

        Parameters
        ----------
        holding
            The lease record, if ``text`` claims the lease or releases it.
        """
        async with self._appending:
            is_claim = holding is not None and bool(holding.holder)
            if self._lease.fence is None and not is_claim:
                # The lease was lost while this call waited; the record would be a claim, or release that of another.
                return AppendOutcome.refused
            sent_at = self._clock.steady()
            own_holding = holding or self._lease.next_record(sent_at)
            try:
                answer = await self._store.put_if_at(DUTY_TOPIC, key, text, self._lease.end)
            except (PlatformUnavailableError, HistoryGoneError) as exc:
                self._note_store_state(str(exc))
                return AppendOutcome.unanswered
            self._note_store_state('')
            if answer is None or answer.epoch != own_holding.epoch:
                return AppendOutcome.refused
            if self._lease.fence is None and not is_claim:
                # The lease was given up while the store answered; the answer must not bring it back.
                return AppendOutcome.refused
            self._lease.on_appended(own_holding, answer.end, sent_at)
            return AppendOutcome.taken

    def _note_store_state(self, cause: str) -> None:
        """Log a failure of the store, once until it answers again; an empty ``cause`` is an answer."""
        if cause and not self._failing:
            events.log_event(events.DUTY_STORE_FAILED, cause=cause)
        self._failing = bool(cause)


def _decode(text: bytes | None, kind: type[_Kind]) -> _Kind | None:
    """Decode a record of the duty; return None if it is missing or does not decode."""
    if not text:
        return None
    try:
        return decode_json(text, kind)
    except UndecodableError as exc:
        events.log_event(events.RECORD_UNREADABLE, topic=DUTY_TOPIC, cause=str(exc))
    return None


__all__ = ('AppendOutcome', 'DutyLog')
