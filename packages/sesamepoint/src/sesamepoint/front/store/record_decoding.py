"""Decoding of records of the store, with a log line for each that does not decode."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint import events
from sesamepoint.platform.runner_registration import decode_runner
from sesamepoint.platform.unreadable_record import UnreadableRecordError

if TYPE_CHECKING:
    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.platform.store import KeyedRecord


def readable_runner(record: KeyedRecord) -> Runner | None:
    """Return the registration in a record; None if it is a removal, or does not decode."""
    if not record.text:
        return None
    try:
        return decode_runner(record.key, record.text)
    except UnreadableRecordError as exc:
        events.log_event(events.RECORD_UNREADABLE, cause=str(exc))
        return None


def readable_runners(records: tuple[KeyedRecord, ...]) -> list[Runner]:
    """Return the registrations in those of ``records`` that decode."""
    runners = (readable_runner(record) for record in records)
    return [runner for runner in runners if runner is not None]


__all__ = ('readable_runner', 'readable_runners')
