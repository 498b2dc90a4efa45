"""Decoding of what runners register in the platform's store."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.runner import MAX_START_MS, Runner, Stage
from sesamepoint.platform.fields import Count, Measure, Positive, Text
from sesamepoint.platform.unreadable import UnreadableRecordError

_Start = Annotated[int, msgspec.Meta(gt=0, lt=MAX_START_MS)]


class _Registration(msgspec.Struct):
    service: Text
    address: Text
    zone: Text
    # Of the runner's software; nothing here depends on it.
    version: str
    slots: Positive
    state: Literal['ready', 'draining']
    cold_remaining_ms: Measure
    # Not a version of the record: how many orders the runner has accepted.
    sequence: Count
    # Only engines have one.
    stage: Literal['prefill', 'decode'] | msgspec.UnsetType = msgspec.UNSET
    # When this start of the runner began. Not all deployments tell it.
    born: _Start | msgspec.UnsetType = msgspec.UNSET


def decode_runner(key: str, text: bytes) -> Runner:
    """Return a runner's registration under ``key``.

    Raises
    ------
    UnreadableRecordError
        If ``text`` is no such document, or a field is missing, of another
        type or out of its range.
    """
    try:
        return _runner(key, msgspec.json.decode(text, type=_Registration))
    except ValueError as exc:
        # Errors of msgspec are among these, and those of the address.
        raise UnreadableRecordError(f'runner {key}: {exc}', 'it names no runner; look for who wrote it') from exc


def _runner(key: str, found: _Registration) -> Runner:
    return Runner(
        key=key,
        service=found.service,
        address=Address.parse(found.address),
        zone=found.zone,
        slots=found.slots,
        leaving=found.state == 'draining',
        stage=Stage.plain if found.stage is msgspec.UNSET else Stage(found.stage),
        born_ms=0 if found.born is msgspec.UNSET else found.born,
    )


__all__ = ('decode_runner',)
