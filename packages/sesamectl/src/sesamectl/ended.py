"""The lines that tell the end of a request, decoded and checked."""

from __future__ import annotations

from collections import Counter
from datetime import datetime
from typing import TYPE_CHECKING, Any

import msgspec

from sesamepoint import events
from sesamepoint.front.failure_cause import FailureCause
from sesamectl.log_lines import decode_line

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_REDIRECT = 300
# As the log output writes times.
TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
SECONDS_A_MINUTE = 60
SECONDS_AN_HOUR = 3600


class Ended(msgspec.Struct, frozen=True, kw_only=True):
    """What the last line of a request tells; times in milliseconds.

    Parameters
    ----------
    cause
        Why the answer is no whole one; empty if it is.
    held_ms
        How long it waited at the entry for an engine.
    work_ms
        Reading time that was expected at the engine.
    wait_expected_ms
        How long it was to wait at the entry, as estimated when it came; None
        if it did not wait.
    answer_tokens
        The longest answer that the caller takes.
    pause_limit_ms
        The longest pause of an answer on time; 0 for plain routes.
    """

    request: str
    asctime: str
    process: str
    route: str
    status: int
    unfinished: bool
    refused: bool
    on_time: bool
    returned: bool
    cause: FailureCause
    target_ms: int
    took_ms: int
    held_ms: int
    pause_ms: int
    pause_limit_ms: int
    sends: int
    first_total_ms: int | None = None
    prefill_ms: int | None = None
    work_ms: int = 0
    wait_expected_ms: int | None = None
    need: str = ''
    caller: str = ''
    runners: tuple[str, ...] = ()
    tokens: int = 0
    answer_tokens: int = 0

    @property
    def whole(self) -> bool:
        """Tell whether its caller got the whole of a good answer."""
        return 0 < self.status < FIRST_REDIRECT and not self.unfinished

    @property
    def ended_s(self) -> float:
        """Return when it ended, in seconds of the process's time of day."""
        return time_s(self.asctime)

    @property
    def second_of_day(self) -> float:
        """Return when it ended, in seconds since midnight."""
        return second_of_day(self.asctime)


class EndedRead(msgspec.Struct):
    """All ends that logs tell, and what was left out of them.

    Parameters
    ----------
    left_out
        Lines that were not used, by reason.
    unended
        Requests that lines name, but none that tells their end.
    """

    ended: list[Ended]
    left_out: Counter[str]
    unended: int = 0

    def notes(self) -> list[str]:
        """Return lines on what was left out, and why."""
        found = [f'note: {count} left out: {reason}' for reason, count in sorted(self.left_out.items())]
        if self.unended:
            found.append(f'note: {self.unended} requests have no line that tells their end: their process ended first')
        found.append('note: callers that found no entry listening are in no log')
        return found


def read_ended(logs: Iterable[str]) -> EndedRead:
    """Return the ends of all requests in ``log_paths``, in any order, each once."""
    found = EndedRead([], Counter())
    named: set[str] = set()
    seen: set[tuple[str, str]] = set()
    for text in logs:
        fields = decode_line(text)
        if fields is None:
            found.left_out['no log line, or one that was cut off'] += bool(text.strip())
            continue
        found.left_out['lines that their process left out (bounded output)'] += _count(fields.get('suppressed'))
        request = fields.get('request')
        if isinstance(request, str):
            named.add(request)
        if fields['event'] == events.ANSWER_ENDED.number:
            _take(fields, found, seen)
    found.unended = len(named - {request for request, _ in seen})
    found.left_out = +found.left_out
    return found


def outcome_of(fields: dict[str, Any]) -> str:
    """Return what became of a request, by the line of its end."""
    if fields.get('on_time'):
        return 'on_time'
    if fields.get('refused'):
        return 'refused'
    status = fields.get('status') or 0
    if not status:
        return 'left'
    return 'failed' if fields.get('unfinished') or status >= FIRST_REDIRECT else 'late'


def second_of_day(written: str) -> float:
    """Return the seconds since midnight of a time as the log output writes it, or its part after the date."""
    hours, minutes, seconds = written.rpartition(' ')[2].replace(',', '.').split(':')
    return int(hours) * SECONDS_AN_HOUR + int(minutes) * SECONDS_A_MINUTE + float(seconds)


def time_s(written: str) -> float:
    """Return the seconds of a time as the log output writes it."""
    return datetime.strptime(written, TIME_FORMAT).timestamp()


def _take(fields: dict[str, Any], found: EndedRead, seen: set[tuple[str, str]]) -> None:
    try:
        ended = _checked(fields)
    except ValueError:
        # Errors of msgspec are among these.
        found.left_out['ends of requests as another version writes them'] += 1
        return
    # One caller's attempt has one id; a log that was joined twice has it twice.
    name = (ended.request, ended.process)
    if name in seen:
        found.left_out['ends of requests that were told twice'] += 1
        return
    seen.add(name)
    found.ended.append(ended)


def _checked(fields: dict[str, Any]) -> Ended:
    ended = msgspec.convert(fields, Ended)
    time_s(ended.asctime)
    return ended


def _count(figure: object) -> int:
    return figure if isinstance(figure, int) else 0


__all__ = ('FIRST_REDIRECT', 'Ended', 'EndedRead', 'outcome_of', 'read_ended', 'second_of_day', 'time_s')
