"""Record types of the control log and their JSON encoding."""

from __future__ import annotations

from types import MappingProxyType
from typing import NamedTuple

import msgspec

from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.registry import Registry

RECORD_TYPES: Registry[type] = Registry('record kind')


class Record(NamedTuple):
    """Envelope of a record on the log.

    Parameters
    ----------
    writer
        Incarnation of the process that wrote the record.
    serial
        Number that the writer counts up; a repeated append carries the same number.
    kind
        Registered name of the body's type.
    body
        Encoded body.
    """

    writer: str
    serial: int
    kind: str
    body: msgspec.Raw


@RECORD_TYPES.register('publish')
class Publish(NamedTuple):
    """Replace the whole configuration, based on version ``based_on``."""

    based_on: int
    operator: str
    configuration: msgspec.Raw


@RECORD_TYPES.register('preset')
class SwitchPreset(NamedTuple):
    """Switch to another preset, based on version ``based_on``."""

    based_on: int
    operator: str
    preset: str


@RECORD_TYPES.register('claim')
class ClaimLease(NamedTuple):
    """Claim the lease ``name``.

    Rejected unless ``last_seen`` is the offset of the newest claim or renewal
    of the lease, or the lease was never claimed.
    """

    name: str
    holder: str
    last_seen: int


@RECORD_TYPES.register('renew')
class RenewLease(NamedTuple):
    """Renew the lease ``name`` that was claimed at offset ``fence``."""

    name: str
    fence: int


@RECORD_TYPES.register('order')
class Order(NamedTuple):
    """Order one upstream to take a role, under a lease and a configuration version."""

    fleet: str
    runner: str
    role: str
    fence: int
    version: int
    reason: str


@RECORD_TYPES.register('order-done')
class OrderDone(NamedTuple):
    """Report by an agent that the order at ``offset`` is done, with the role found."""

    runner: str
    offset: int
    role: str


Body = Publish | SwitchPreset | ClaimLease | RenewLease | Order | OrderDone

_KIND_OF = MappingProxyType({RECORD_TYPES.get(kind): kind for kind in RECORD_TYPES})
_encoder = msgspec.json.Encoder()


def encode(writer: str, serial: int, body: Body) -> bytes:
    """Return the encoded record to append for ``body``."""
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Record(writer, serial, _KIND_OF[type(body)], raw))


def decode(payload: bytes) -> tuple[Record, Body]:
    """Return the envelope and the decoded body.

    Raises
    ------
    UndecodableError
        If the payload is not a valid record or its kind is unknown.
    """
    record = decode_json(payload, Record)
    if record.kind not in RECORD_TYPES:
        raise UndecodableError(record.kind)
    body: Body = decode_json(record.body, RECORD_TYPES.get(record.kind))
    return record, body


__all__ = (
    'RECORD_TYPES',
    'Body',
    'ClaimLease',
    'Order',
    'OrderDone',
    'Publish',
    'Record',
    'RenewLease',
    'SwitchPreset',
    'decode',
    'encode',
)
