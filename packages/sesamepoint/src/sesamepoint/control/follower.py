"""Reader and writer of the control log, which holds the state that all processes agree on."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.config.check import active_configuration
from sesamepoint_core.errors import HistoryLostError, PlatformUnavailableError
from sesamepoint_core.fold.apply import apply
from sesamepoint_core.fold.record_outcome import Rejected
from sesamepoint_core.fold.records import encode
from sesamepoint_core.fold.snapshot import Snapshot, choose_snapshot, decode_snapshot, encode_snapshot
from sesamepoint_core.fold.state import State
from sesamepoint import events
from sesamepoint.control.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence
    from random import Random

    from sesamepoint_core.config.model import ActiveConfiguration
    from sesamepoint_core.fold.record_outcome import RecordOutcome
    from sesamepoint_core.fold.records import Body
    from sesamepoint.platform.service_interfaces import LogRecord, LogService

POLL_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.5
READ_INTERVAL_S = 1.0
MAX_RECENT_RECORDS = 512
SNAPSHOTS_READ = 4
OFFSET_BEYOND_END = 9_007_199_254_740_992


class Follower:
    """Folds the records of a deployment's control stream into a state, and appends records.

    Parameters
    ----------
    log
        The platform's log.
    deployment
        Name of the deployment whose stream is followed.
    writer
        Incarnation of this process; it identifies the writer of a record.
    rng
        Source of the jitter between retries.
    """

    def __init__(self, log: LogService, deployment: str, writer: str, rng: Random) -> None:
        """Start from the empty state."""
        self.state = State.empty()
        self.writer = writer
        self.changed = Notifier()
        self.recovered = trio.Event()
        self.last_read_at = float('-inf')
        self._log = log
        self._stream = f'control.{deployment}'
        self._snapshots = f'snapshots.{deployment}'
        self._rng = rng
        self._recent_records: deque[tuple[int, bytes]] = deque(maxlen=MAX_RECENT_RECORDS)
        self._append_lock = trio.Lock()
        self._last_serial = 0
        self._outcomes: dict[int, RecordOutcome] = {}
        self._reachable = True

    @property
    def active_configuration(self) -> ActiveConfiguration:
        """The active configuration in the state folded so far.

        Raises
        ------
        NotConfiguredError
            If no configuration has been published.
        """
        return active_configuration(self.state)

    @property
    def since_last_read_s(self) -> float:
        """Seconds since the last successful read of the log."""
        return trio.current_time() - self.last_read_at

    def records_after(self, offset: int) -> tuple[tuple[int, bytes], ...]:
        """Return the records after ``offset``; empty if some are no longer held in memory."""
        if not self._recent_records or self._recent_records[0][0] > offset + 1:
            return ()
        return tuple(record for record in self._recent_records if record[0] > offset)

    def apply_peer_records(self, records: Iterable[tuple[int, bytes]]) -> None:
        """Fold records that a peer sent.

        Peers forward records of the log unchanged. A record that does not
        directly follow the last folded one is skipped and read from the log
        later.
        """
        for offset, payload in records:
            if offset == self.state.offset + 1:
                self._apply_record(offset, payload)

    async def follow(self) -> None:
        """Recover the state, then fold new records until cancelled."""
        while not await self._try_step(self._recover):
            await trio.lowlevel.checkpoint()
        self.recovered.set()
        self.changed.notify_all()
        events.log_event(events.STATE_RECOVERED, offset=self.state.offset, version=self.state.version)
        while True:
            await self._try_step(self._read_next)
            # Across the deployment, leases are renewed several times a second.
            # Reading once a second batches these records: otherwise each
            # record would cost each process, and the log, a call.
            await trio.sleep(READ_INTERVAL_S)

    async def submit(self, body: Body) -> RecordOutcome:
        """Append ``body`` and return its outcome once it is folded.

        Retries for as long as the log is unavailable; wrap the call in a
        cancel scope to set a timeout. A cancelled record may still take
        effect later.
        """
        # One append at a time: the fold drops a record whose serial is lower
        # than one already seen, so of two concurrent appends one that has to
        # be retried could be lost.
        async with self._append_lock:
            self._last_serial += 1
            return await self._append_until_applied(self._last_serial, encode(self.writer, self._last_serial, body))

    async def write_snapshot(self, fence: int) -> None:
        """Append the current state to the snapshot stream.

        Raises
        ------
        PlatformUnavailableError
            If the log is away.
        """
        await self._log.append(self._snapshots, encode_snapshot(Snapshot(fence, self.state)))

    async def read_to_end(self) -> None:
        """Fold all records up to the current end of the log.

        Raises
        ------
        PlatformUnavailableError
            If the log is away.
        """
        page = await self._log.read(self._stream, self.state.offset + 1, 0)
        self._apply_records(page.records)
        while self.state.offset + 1 < page.end:
            page = await self._log.read(self._stream, self.state.offset + 1, 0)
            self._apply_records(page.records)

    async def _append_until_applied(self, serial: int, payload: bytes) -> RecordOutcome:
        while serial not in self._outcomes:
            wait_s = RETRY_INTERVAL_S
            try:
                await self._append_and_read(payload)
            except PlatformUnavailableError:
                # The append may have succeeded with only its reply lost.
                # Wait for the record to be folded before appending it again
                # under the same serial; the fold ignores a duplicate.
                wait_s = RETRY_INTERVAL_S * (1 + self._rng.random())
            await self._wait_for_outcome(serial, wait_s)
        return self._outcomes.pop(serial)

    async def _append_and_read(self, payload: bytes) -> None:
        await self._log.append(self._stream, payload)
        await self.read_to_end()

    async def _wait_for_outcome(self, serial: int, wait_s: float) -> None:
        with trio.move_on_after(wait_s):
            while serial not in self._outcomes:
                await self.changed.wait()

    async def _try_step(self, step: Callable[[], Awaitable[None]]) -> bool:
        """Run ``step``, which reads the log; return whether the log was available."""
        try:
            await step()
        except PlatformUnavailableError as exc:
            self._set_reachable(reachable=False, cause=str(exc))
            await trio.sleep(RETRY_INTERVAL_S * (1 + self._rng.random()))
            return False
        self._set_reachable(reachable=True, cause='')
        return True

    async def _recover(self) -> None:
        snapshot = await self._newest_snapshot()
        if snapshot is not None and snapshot.offset > self.state.offset:
            self.state = snapshot
        wanted = self.state.offset + 1
        page = await self._log.read(self._stream, wanted, 0)
        if page.earliest > wanted:
            # Starting from the earliest record left could miss a version, a
            # lease or a pending order that has been trimmed.
            events.log_event(events.HISTORY_LOST, wanted=wanted, earliest=page.earliest)
            raise HistoryLostError(wanted, page.earliest)
        await self.read_to_end()

    async def _newest_snapshot(self) -> State | None:
        """Return the state of the best of the last few snapshots.

        Only the last few are read, since a day of snapshots would be tens of
        megabytes for each process that restarts. A former lease holder that
        resumes late adds one or two outdated snapshots at most.
        """
        end = (await self._log.read(self._snapshots, OFFSET_BEYOND_END, 0)).end
        page = await self._log.read(self._snapshots, max(end - SNAPSHOTS_READ, 0), 0)
        chosen = choose_snapshot(decode_snapshot(record.payload) for record in page.records)
        return None if chosen is None else chosen.state

    async def _read_next(self) -> None:
        page = await self._log.read(self._stream, self.state.offset + 1, POLL_TIMEOUT_S)
        if page.earliest > self.state.offset + 1:
            await self._recover()
            self.changed.notify_all()
        self._apply_records(page.records)

    def _apply_records(self, records: Sequence[LogRecord]) -> None:
        self.last_read_at = trio.current_time()
        for record in records:
            if record.offset == self.state.offset + 1:
                self._apply_record(record.offset, record.payload)

    def _apply_record(self, offset: int, payload: bytes) -> None:
        previous_version = self.state.version
        step = apply(self.state, offset, payload)
        self.state = step.state
        self._recent_records.append((offset, payload))
        if step.record is not None and step.record.writer == self.writer:
            self._outcomes.setdefault(step.record.serial, step.outcome)
        if isinstance(step.outcome, Rejected):
            events.log_event(events.RECORD_REJECTED, offset=offset, code=step.outcome.code, reason=step.outcome.reason)
        if self.state.version != previous_version:
            events.log_event(events.CONFIGURATION_APPLIED, version=self.state.version, offset=offset)
        self.changed.notify_all()

    def _set_reachable(self, *, reachable: bool, cause: str) -> None:
        if reachable != self._reachable:
            event = events.LOG_REACHABLE if reachable else events.LOG_UNREACHABLE
            events.log_event(event, cause=cause)
        self._reachable = reachable


__all__ = ('Follower',)
