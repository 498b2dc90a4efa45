"""Records of the platform's store: how they are framed in its log, and how its pages list them."""

from __future__ import annotations

import base64
import struct
from typing import NamedTuple

import msgspec

from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.field_types import Offset
from sesamepoint import events

_LENGTH = struct.Struct('>I')


class KeyedRecord(NamedTuple):
    """A record of a keyed topic; an empty text means that the key was deleted."""

    key: str
    text: bytes


class _NewestEntry(msgspec.Struct, rename={'encoded': 'value'}):
    key: str
    # The record in base64, without the key that precedes it in the log.
    encoded: str


class NewestPage(msgspec.Struct, rename={'entries': 'items'}):
    """A page of the newest records of a topic, ``end`` is the end of its log."""

    # Each is decoded by itself: an unusable one must not hide the others.
    entries: list[msgspec.Raw]
    has_more: bool
    end: Offset


def unavailable(cause: str) -> PlatformUnavailableError:
    """Return the error of a call that the store did not answer, or not in its protocol."""
    return PlatformUnavailableError('store', cause)


def encode_record(key: str, text: bytes) -> bytes:
    """Encode a record of ``key`` for an append."""
    raw_key = key.encode()
    record = bytes((len(raw_key),)) + raw_key + text
    return _LENGTH.pack(len(record)) + record


def decode_page(body: bytes) -> NewestPage:
    """Decode a page of the newest records.

    Raises
    ------
    PlatformUnavailableError
        If it is unreadable.
    """
    try:
        return decode_json(body, NewestPage)
    except UndecodableError as exc:
        raise unavailable(f'unreadable reply: {exc}') from exc


def decode_entry(topic: str, raw: msgspec.Raw) -> KeyedRecord | None:
    """Decode an entry of a page; log it and return None if it is unusable."""
    try:
        return _keyed_record(decode_json(raw, _NewestEntry))
    except (UndecodableError, ValueError) as exc:
        events.log_event(events.RECORD_UNREADABLE, topic=topic, cause=str(exc))
        return None


def _keyed_record(entry: _NewestEntry) -> KeyedRecord:
    return KeyedRecord(entry.key, base64.b64decode(entry.encoded))


def split_records(body: bytes) -> list[bytes]:
    """Split what the log returned into records.

    Raises
    ------
    PlatformUnavailableError
        If it ends within a record.
    """
    records = []
    offset = 0
    while offset < len(body):
        if offset + _LENGTH.size > len(body):
            raise unavailable('a reply that ends within a record')
        size = _LENGTH.unpack_from(body, offset)[0]
        offset += _LENGTH.size
        records.append(body[offset : offset + size])
        offset += size
    if offset > len(body):
        raise unavailable('a reply that ends within a record')
    return records


def decode_record(topic: str, record: bytes) -> KeyedRecord | None:
    """Decode a record; log it and return None if it ends within its key.

    Such a record comes from a writer that uses another format.
    """
    key_end = 1 + record[0] if record else 1
    if key_end > len(record):
        events.log_event(events.RECORD_UNREADABLE, topic=topic, cause='it ends within its key')
        return None
    # A key that isn't UTF-8 is no runner's, so a replacement name does no harm.
    return KeyedRecord(record[1:key_end].decode(errors='replace'), record[key_end:])


__all__ = (
    'KeyedRecord',
    'NewestPage',
    'decode_entry',
    'decode_page',
    'decode_record',
    'encode_record',
    'split_records',
    'unavailable',
)
