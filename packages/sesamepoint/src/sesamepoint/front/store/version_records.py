"""Record of the software versions seen, so that a started instance knows those from before its start."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
import trio

from sesamepoint_core.decoding import UndecodableError, decode_msgpack
from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.field_types import Offset
from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint import events
from sesamepoint.front.store.record_decoding import readable_runners
from sesamepoint.front.store.topic_updates import Epoch
from sesamepoint.platform.store import HistoryGoneError
from sesamepoint.platform.wire_names import RUNNER_TOPIC, VERSIONS_KEY, VERSIONS_TOPIC

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.store.store_pacer import PacedStore
    from sesamepoint.front.store.sync_targets import SyncTargets
    from sesamepoint.front.store.topic_sync import TopicSync
    from sesamepoint.platform.store import KeyedRecord

# How often the instance that polls the list of runners writes the record, in seconds: the store must still have the
# changes since then, and keeps them for 20 s and more.
WRITE_INTERVAL_S = 8.0
# How often an instance that has started looks whether it has the list, in seconds.
START_CHECK_S = 0.2
# Instances that start together read the changes within this time for each of them, in seconds.
SPREAD_PER_INSTANCE_S = 0.01
# A log without a record is read from its beginning if it has no more entries than this, some 4 MB.
MAX_ENTRIES = 20_000
KnownFor = Annotated[float, msgspec.Meta(ge=0)]
MAX_NAME_CHARS = 256
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


class VersionRecord(msgspec.Struct, frozen=True, array_like=True):
    """Versions that the services had within the last ``known_s`` seconds before the offset ``end``.

    Parameters
    ----------
    known_s
        None if no change is missing since the beginning of the log.
    """

    epoch: Epoch
    end: Offset
    known_s: KnownFor | None
    versions: dict[Name, list[Name | None]]


class _Known(NamedTuple):
    """Pairs of service and version that were there in the last ``known_s`` seconds; none is missing."""

    known_s: float
    seen: set[tuple[str, str | None]]


class VersionRecords:
    """Writes the record, and extends the history of an instance that starts by it.

    After all instances were killed nobody remembered which version began a stream, and a new process had seen no list
    of runners but its first: each stream that a caller took up was refused, though one version served all the time.
    The record has what was seen up to an offset of the list's log, and the log has the changes since.
    """

    def __init__(self, topic_sync: TopicSync, targets: SyncTargets, store: PacedStore, rng: Random) -> None:
        """Record the versions of the fleet, as ``topic_sync`` follows the list of runners."""
        self._topic_sync = topic_sync
        self._versions = targets.fleet.versions
        self._count = targets.peers.count
        self._store = store
        self._rng = rng

    async def write(self) -> None:
        """Write the record again and again while this instance polls the list of runners, until cancelled."""
        while True:
            await trio.sleep(WRITE_INTERVAL_S)
            watch = self._topic_sync.watches.get(RUNNER_TOPIC)
            if watch is not None and watch.turns.polls_for_all and watch.turns.end is not None and self._needed():
                await self._put(
                    VersionRecord(watch.identity.epoch, watch.turns.end, self._known_s(), self._versions.recent())
                )

    async def restore(self) -> None:
        """Extend the history once, after the first list; a read that fails leaves it as short as it is."""
        while not (self._needed() and self._has_list()):
            started = self._topic_sync.in_force is not None and self._has_list()
            await trio.sleep(WRITE_INTERVAL_S if started else START_CHECK_S)
        await trio.sleep(self._rng.uniform(0, SPREAD_PER_INSTANCE_S * self._count()))
        began_at = self._versions.history.began_at
        try:
            known = await self._read_known()
        except (HistoryGoneError, PlatformUnavailableError) as exc:
            return events.log_event(events.VERSIONS_NOT_RESTORED, cause=repr(exc))
        # Another whole list has been read meanwhile, and what lay between is not known.
        if began_at != self._versions.history.began_at:
            return events.log_event(events.VERSIONS_NOT_RESTORED, cause='the list was read anew')
        self._versions.extend(known.known_s, known.seen)
        return events.log_event(events.VERSIONS_RESTORED, known_s=known.known_s, seen=len(known.seen))

    async def _read_known(self) -> _Known:
        record = await self._read_record()
        changes = await self._changes_since(record)
        seen = {(service, version) for service, versions in record.versions.items() for version in versions}
        seen.update((runner.service, runner.software_version) for runner in readable_runners(changes))
        return _Known(math.inf if record.known_s is None else record.known_s, seen)

    def _has_list(self) -> bool:
        watch = self._topic_sync.watches.get(RUNNER_TOPIC)
        return watch is not None and watch.turns.end is not None and self._versions.history.began_at < math.inf

    def _needed(self) -> bool:
        """Return whether a route has streams that callers may take up."""
        cfg = self._topic_sync.in_force
        routes = cfg.routes.values() if cfg else ()
        return any(route.repeat is RepeatPolicy.resume for of_host in routes for route in of_host)

    def _known_s(self) -> float | None:
        known_s = self._versions.known_s()
        return None if math.isinf(known_s) else known_s

    async def _read_record(self) -> VersionRecord:
        """Return the record; without one of this epoch, one for the beginning of the log.

        Raises
        ------
        HistoryGoneError
            If the log may lack registrations from before its beginning.
        PlatformUnavailableError
            If the store did not answer.
        """
        listing = await self._store.client.read_newest(VERSIONS_TOPIC)
        watch = self._topic_sync.watches.get(RUNNER_TOPIC)
        assert watch is not None
        for record in listing.records:
            found = _decode(record)
            if found is not None and found.epoch == watch.identity.epoch:
                return found
        if watch.identity.epoch or (watch.turns.end or 0) > MAX_ENTRIES:
            raise HistoryGoneError
        return VersionRecord(0, 0, None, {})

    async def _changes_since(self, record: VersionRecord) -> tuple[KeyedRecord, ...]:
        """Return the changes of the list of runners from the offset of ``record`` to where this instance follows it."""
        watch = self._topic_sync.watches.get(RUNNER_TOPIC)
        assert watch is not None
        end = watch.turns.end or 0
        start = record.end
        changes: list[KeyedRecord] = []
        while start < end:
            part = await self._store.client.follow(RUNNER_TOPIC, start, 0)
            if part.end == start or part.epoch != record.epoch:
                raise HistoryGoneError
            changes.extend(part.records)
            start = part.end
        return tuple(changes)

    async def _put(self, record: VersionRecord) -> None:
        try:
            await self._store.client.put(VERSIONS_TOPIC, VERSIONS_KEY, msgspec.msgpack.encode(record))
        except PlatformUnavailableError as exc:
            events.log_event(events.VERSIONS_NOT_RECORDED, cause=str(exc))


def _decode(record: KeyedRecord) -> VersionRecord | None:
    if record.key != VERSIONS_KEY or not record.text:
        return None
    try:
        return decode_msgpack(record.text, VersionRecord)
    except UndecodableError as exc:
        events.log_event(events.RECORD_UNREADABLE, topic=VERSIONS_TOPIC, cause=str(exc))
        return None


__all__ = ('VersionRecord', 'VersionRecords')
