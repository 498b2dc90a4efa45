"""Decoding of runners' registrations in the platform's store."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.field_types import Counter, HeaderName, Milliseconds, NonEmptyText, Slots
from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.runner import MAX_START_MS, Runner, Stage
from sesamepoint_core.stream_origin.origin import bounded_version
from sesamepoint.platform.unreadable_record import UnreadableRecordError

_StartTimeMs = Annotated[int, msgspec.Meta(gt=0, lt=MAX_START_MS)]


class _Registration(msgspec.Struct):
    service: NonEmptyText
    address: NonEmptyText
    zone: NonEmptyText
    # Version of the runner's software, not of its weights.
    version: str
    slots: Slots
    state: Literal['ready', 'draining']
    cold_remaining_ms: Milliseconds
    # Grows with each heartbeat. A heartbeat that changes nothing else is not written to the log.
    sequence: Counter
    # Set for engines only.
    stage: Literal['prefill', 'decode'] | msgspec.UnsetType = msgspec.UNSET
    # Start time of the runner's incarnation, in ms; not all deployments send it.
    born: _StartTimeMs | msgspec.UnsetType = msgspec.UNSET


def decode_runner(key: str, text: bytes) -> Runner:
    """Decode the registration of the runner ``key``.

    Raises
    ------
    UnreadableRecordError
        If ``text`` is not a valid registration: malformed JSON, or a field
        that is missing, has the wrong type or is out of range.
    """
    try:
        return _runner(key, decode_json(text, _Registration))
    except (UndecodableError, ValueError) as exc:
        # ValueError: by Address.parse, or of the key.
        raise UnreadableRecordError(
            f'runner {key!r}: {exc}', 'the runner is not used; find out who wrote the record'
        ) from exc


def _runner(key: str, registration: _Registration) -> Runner:
    return Runner(
        key=msgspec.convert(key, HeaderName),
        service=registration.service,
        address=Address.parse(registration.address),
        zone=registration.zone,
        slots=registration.slots,
        draining=registration.state == 'draining',
        stage=Stage.plain if registration.stage is msgspec.UNSET else Stage(registration.stage),
        born_ms=0 if registration.born is msgspec.UNSET else registration.born,
        software_version=bounded_version(registration.version),
        sequence=registration.sequence,
    )


__all__ = ('decode_runner',)
