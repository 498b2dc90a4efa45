"""Log lines on the ends of requests, decoded and checked."""

from __future__ import annotations

from collections import Counter
from datetime import datetime
from typing import TYPE_CHECKING, Any

import msgspec

from sesamepoint import events
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamectl.log_lines import decode_line

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_REDIRECT_STATUS = 300
# Format of times in the log output.
TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
SECONDS_A_MINUTE = 60
SECONDS_AN_HOUR = 3600


class EndedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of the last log line of a request; times in milliseconds.

    Parameters
    ----------
    cause
        Why the answer is not whole; empty if it is.
    held_ms
        Time that it waited in the queue of the instance for an engine.
    work_ms
        Prefill time that was expected at the engine.
    wait_expected_ms
        Time in the queue of the instance as estimated on arrival; None if it
        did not wait.
    runners
        Runners that got it, in the order of the attempts.
    answer_tokens
        Length of the longest answer that the caller accepts.
    content_id
        The same for each attempt of one caller; empty in logs that lack it.
    pause_limit_ms
        Longest pause that an answer on time may have; 0 for plain routes.
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
    account: str = ''
    runners: tuple[str, ...] = ()
    tokens: int = 0
    answer_tokens: int = 0
    content_id: str = msgspec.field(default='', name='content')

    @property
    def whole(self) -> bool:
        """Tell whether its caller got a whole answer with a status of success."""
        return 0 < self.status < FIRST_REDIRECT_STATUS and not self.unfinished

    @property
    def last_runner(self) -> str:
        """Return the runner that got it last; empty if it was never sent."""
        return self.runners[-1] if self.runners else ''

    @property
    def ended_s(self) -> float:
        """Return when it ended by the clock of its process, in seconds."""
        return time_s(self.asctime)

    @property
    def second_of_day(self) -> float:
        """Return when it ended, in seconds since midnight."""
        return second_of_day(self.asctime)


class EndedRequests(msgspec.Struct):
    """Ends of all requests in some logs, and counts of what is missing there.

    Parameters
    ----------
    left_out
        Lines that were not used, by reason.
    unended
        Requests that are named in the logs without a line on their end.
    """

    ended: list[EndedRequest]
    left_out: Counter[str]
    unended: int = 0

    def notes(self) -> list[str]:
        """Return notes on what is missing, and why."""
        found = [f'note: {count} left out: {reason}' for reason, count in sorted(self.left_out.items())]
        if self.unended:
            found.append(f'note: {self.unended} requests have no line on their end: their process ended first')
        found.append('note: callers that found no listening instance are in no log')
        return found


def read_ended_requests(logs: Iterable[str]) -> EndedRequests:
    """Return the ends of all requests in ``logs``, each once; lines may come in any order."""
    ends = EndedRequests([], Counter())
    request_ids: set[str] = set()
    seen: set[tuple[str, str]] = set()
    for text in logs:
        fields = decode_line(text)
        if fields is None:
            ends.left_out['no log line, or one that was cut off'] += bool(text.strip())
            continue
        ends.left_out['lines that their process left out (bounded output)'] += _int_or_zero(fields.get('suppressed'))
        request = fields.get('request')
        if isinstance(request, str):
            request_ids.add(request)
        if fields['event'] == events.ANSWER_ENDED.number:
            _add_request(fields, ends, seen)
    ends.unended = len(request_ids - {request for request, _ in seen})
    ends.left_out = +ends.left_out
    return ends


def outcome_of(fields: dict[str, Any]) -> str:
    """Return the outcome of a request, from the line on its end."""
    if fields.get('on_time'):
        return 'on_time'
    if fields.get('refused'):
        return 'refused'
    status = fields.get('status') or 0
    if not status:
        return 'left'
    return 'failed' if fields.get('unfinished') or status >= FIRST_REDIRECT_STATUS else 'late'


def second_of_day(written: str) -> float:
    """Return the seconds since midnight of a time in the format of the logs, with or without its date."""
    hours, minutes, seconds = written.rpartition(' ')[2].replace(',', '.').split(':')
    return int(hours) * SECONDS_AN_HOUR + int(minutes) * SECONDS_A_MINUTE + float(seconds)


def time_s(written: str) -> float:
    """Return a time in the format of the logs as a timestamp, in seconds."""
    return datetime.strptime(written, TIME_FORMAT).timestamp()


def _add_request(fields: dict[str, Any], found: EndedRequests, seen: set[tuple[str, str]]) -> None:
    try:
        ended = _decode_request(fields)
    except ValueError:
        # Errors of msgspec are subclasses of ValueError.
        found.left_out['ends of requests as another version writes them'] += 1
        return
    # Each attempt of a caller has its own id. Logs that hold a file twice repeat it.
    request_key = (ended.request, ended.process)
    if request_key in seen:
        found.left_out['ends of requests that were told twice'] += 1
        return
    seen.add(request_key)
    found.ended.append(ended)


def _decode_request(fields: dict[str, Any]) -> EndedRequest:
    ended = msgspec.convert(fields, EndedRequest)
    time_s(ended.asctime)
    return ended


def _int_or_zero(number: object) -> int:
    return number if isinstance(number, int) else 0


__all__ = (
    'FIRST_REDIRECT_STATUS',
    'EndedRequest',
    'EndedRequests',
    'outcome_of',
    'read_ended_requests',
    'second_of_day',
    'time_s',
)
