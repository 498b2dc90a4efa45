"""Decoding of runners' registrations in the platform's store."""

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
    # Version of the runner's software; not used here.
    version: str
    slots: Positive
    state: Literal['ready', 'draining']
    cold_remaining_ms: Measure
    # Number of orders that the runner has accepted, not a version of the record.
    sequence: Count
    # Set for engines only.
    stage: Literal['prefill', 'decode'] | msgspec.UnsetType = msgspec.UNSET
    # Start time of the runner's incarnation, in ms; not all deployments send it.
    born: _Start | msgspec.UnsetType = msgspec.UNSET


def decode_runner(key: str, text: bytes) -> Runner:
    """Decode the registration of the runner ``key``.

    Raises
    ------
    UnreadableRecordError
        If ``text`` is not a valid registration: malformed JSON, or a field
        that is missing, has the wrong type or is out of range.
    """
    try:
        return _runner(key, msgspec.json.decode(text, type=_Registration))
    except ValueError as exc:
        # Also catches msgspec's errors and those of Address.parse.
        raise UnreadableRecordError(
            f'runner {key}: {exc}', 'the runner is not used; find out who wrote the record'
        ) from exc


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
