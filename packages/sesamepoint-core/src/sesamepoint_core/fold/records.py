"""The records of the control log and their encoding."""

from __future__ import annotations

from functools import cache
from types import MappingProxyType
from typing import Any, NamedTuple

import msgspec

from sesamepoint_core.registry import Registry

RECORDS: Registry[type] = Registry('record kind')


class Record(NamedTuple):
    """One record as it lies on the log.

    Parameters
    ----------
    writer
        The incarnation that wrote it.
    serial
        The writer's own count; a repeated append carries the same one.
    kind
        The registered name of the body's type.
    body
        The encoded body.
    """

    writer: str
    serial: int
    kind: str
    body: msgspec.Raw


@RECORDS.register('publish')
class Publish(NamedTuple):
    """A whole new configuration, made from version ``based_on``."""

    based_on: int
    operator: str
    configuration: msgspec.Raw


@RECORDS.register('preset')
class SwitchPreset(NamedTuple):
    """Put another preset in force, seen from version ``based_on``."""

    based_on: int
    operator: str
    preset: str


@RECORDS.register('claim')
class ClaimLease(NamedTuple):
    """Take the lease ``name``; void if it moved after offset ``last_seen``."""

    name: str
    holder: str
    last_seen: int


@RECORDS.register('renew')
class RenewLease(NamedTuple):
    """Keep the lease ``name`` that was claimed at offset ``fence``."""

    name: str
    fence: int


@RECORDS.register('order')
class Order(NamedTuple):
    """Tell one upstream to take a role, under a lease and a version."""

    fleet: str
    runner: str
    role: str
    fence: int
    version: int
    reason: str


@RECORDS.register('order-done')
class OrderDone(NamedTuple):
    """The agent's word on what became of the order at ``offset``."""

    runner: str
    offset: int
    role: str


Body = Publish | SwitchPreset | ClaimLease | RenewLease | Order | OrderDone

_KIND_OF = MappingProxyType({RECORDS.get(kind): kind for kind in RECORDS})
_encoder = msgspec.json.Encoder()
_envelope = msgspec.json.Decoder(Record)


def encode(writer: str, serial: int, body: Body) -> bytes:
    """Return the bytes to append for ``body``."""
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Record(writer, serial, _KIND_OF[type(body)], raw))


def decode(payload: bytes) -> tuple[Record, Body]:
    """Return the envelope and the typed body.

    Raises
    ------
    msgspec.DecodeError
        If the payload is none of ours.
    """
    record = _envelope.decode(payload)
    if record.kind not in RECORDS:
        raise msgspec.DecodeError(record.kind)
    body: Body = _decoder(record.kind).decode(record.body)
    return record, body


@cache
def _decoder(kind: str) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(RECORDS.get(kind))


__all__ = (
    'RECORDS',
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
