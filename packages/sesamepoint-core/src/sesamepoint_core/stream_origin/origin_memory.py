"""Bounded memory of the origins of streams."""

from __future__ import annotations

from typing import NamedTuple

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.stream_origin.origin import StreamOrigin

# Callers take a stream up within their deadline, which no route of a configuration lets
# pass this many seconds; longer routes lengthen the time.
MIN_RETENTION_S = 60.0
# Most streams that are remembered, about 8 MB; the oldest are dropped first. An instance of
# the largest fleet to design for keeps 43 a second, its share of 3,700.
MAX_STREAMS = 32_768
# Origins of which one object is shared; a release adds one for each service.
MAX_ORIGINS = 256


class KnownOrigin(NamedTuple):
    """The origin of a remembered stream, and for how many seconds it has been known."""

    origin: StreamOrigin
    age_s: float


class _Entry(NamedTuple):
    # None once two origins were named for the stream: a caller has used its id twice.
    origin: StreamOrigin | None
    noted_at: float


class OriginMemory:
    """Remembers the origin of each stream by its digest, for a time and up to a number."""

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        """Start without streams."""
        self.retention_s = MIN_RETENTION_S
        # Streams that were dropped for lack of room before their time.
        self.dropped = 0
        self._max_streams = max_streams
        # In the order in which they were last noted.
        self._entries: dict[bytes, _Entry] = {}
        # One object for each origin, whatever number of streams has it.
        self._origins: dict[StreamOrigin, StreamOrigin] = {}

    def __len__(self) -> int:
        """Return how many streams are remembered."""
        return len(self._entries)

    def remember(self, digest: bytes, origin: StreamOrigin, now: float) -> None:
        """Note the origin of a stream, or that it goes on.

        A stream for which two different origins are noted has none that can be trusted.
        """
        earlier = self._entries.pop(digest, None)
        known = origin if earlier is None or now - earlier.noted_at > self.retention_s else earlier.origin
        same = self._shared(origin) if known == origin else None
        self._entries[digest] = _Entry(same, now)
        self._drop_expired(now)
        if len(self._entries) > self._max_streams:
            self._entries.pop(next(iter(self._entries)))
            self.dropped += 1

    def find(self, digest: bytes, now: float) -> KnownOrigin | None:
        """Return the origin of a stream; None if it is not remembered, or is ambiguous."""
        entry = self._entries.get(digest)
        if entry is None or entry.origin is None or now - entry.noted_at > self.retention_s:
            return None
        return KnownOrigin(entry.origin, now - entry.noted_at)

    def is_ambiguous(self, digest: bytes) -> bool:
        """Tell whether two origins were noted for a stream."""
        entry = self._entries.get(digest)
        return entry is not None and entry.origin is None

    def _shared(self, origin: StreamOrigin) -> StreamOrigin:
        shared = self._origins.setdefault(origin, origin)
        drop_oldest(self._origins, MAX_ORIGINS)
        return shared

    def _drop_expired(self, now: float) -> None:
        while self._entries:
            digest = next(iter(self._entries))
            if now - self._entries[digest].noted_at <= self.retention_s:
                return
            self._entries.pop(digest)


__all__ = ('MAX_STREAMS', 'MIN_RETENTION_S', 'KnownOrigin', 'OriginMemory')
