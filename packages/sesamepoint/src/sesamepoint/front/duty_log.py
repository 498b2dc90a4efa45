"""The log of the duty in the platform's store: who holds it, and the newest report."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, TypeVar

import msgspec
import trio

from sesamepoint_core.duty.lease import Holding, LogView
from sesamepoint_core.duty.reports import Report
from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint import events
from sesamepoint.platform.names import DUTY_TOPIC, LEASE_KEY, REPORT_KEY
from sesamepoint.platform.store import HistoryGoneError

if TYPE_CHECKING:
    from sesamepoint_core.duty.lease import Lease
    from sesamepoint.front.clocks import Clock
    from sesamepoint.platform.store import StoreClient

_Kind = TypeVar('_Kind')


class Appending(enum.Enum):
    """What became of a record; one that is unanswered may be there, or come to be there."""

    taken = 'taken'
    refused = 'refused'
    unanswered = 'unanswered'


class DutyLog:
    """Reads and appends for one lease, and keeps it in step."""

    def __init__(self, lease: Lease, store: StoreClient, clock: Clock) -> None:
        """Have read nothing yet."""
        # The newest report that was found.
        self.report: Report | None = None
        self._lease = lease
        self._store = store
        self._clock = clock
        self._failing = False
        self._appending = trio.Lock()

    async def look(self) -> bool:
        """Read who holds the lease; False if the store did not tell."""
        try:
            found = await self._store.newest(DUTY_TOPIC)
        except (PlatformUnavailableError, HistoryGoneError) as exc:
            self._note_store(str(exc))
            return False
        self._note_store('')
        texts = {record.key: record.text for record in found.records}
        self.report = _decoded(texts.get(REPORT_KEY), Report)
        before = self._lease.fence
        holding = _decoded(texts.get(LEASE_KEY), Holding)
        self._lease.saw(LogView(found.era, found.end, holding), self._clock.steady())
        if before is not None and self._lease.fence is None:
            events.log_event(events.DUTY_LEFT, fence=before, holder=holding.holder if holding else '', era=found.era)
        return True

    async def append(self, key: str, text: bytes, holding: Holding | None = None) -> Appending:
        """Append a record at the end that is known; it renews the lease if it is accepted."""
        async with self._appending:
            if holding is None and self._lease.fence is None:
                # Lost while this one waited; it would be a claim.
                return Appending.refused
            mine = holding or self._lease.next_holding()
            sent_at = self._clock.steady()
            try:
                found = await self._store.put_at(DUTY_TOPIC, key, text, self._lease.end)
            except (PlatformUnavailableError, HistoryGoneError) as exc:
                self._note_store(str(exc))
                return Appending.unanswered
            self._note_store('')
            if found is None or found.era != mine.era:
                return Appending.refused
            self._lease.appended(mine, found.end, sent_at)
            return Appending.taken

    def _note_store(self, cause: str) -> None:
        """Log that the store fails, once until it answers again."""
        if cause and not self._failing:
            events.log_event(events.DUTY_STORE_FAILED, cause=cause)
        self._failing = bool(cause)


def _decoded(text: bytes | None, kind: type[_Kind]) -> _Kind | None:
    """Return a record of the duty; one that does not decode is none."""
    if not text:
        return None
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.DecodeError as exc:
        events.log_event(events.RECORD_UNREADABLE, topic=DUTY_TOPIC, cause=str(exc))
    return None


__all__ = ('Appending', 'DutyLog')
