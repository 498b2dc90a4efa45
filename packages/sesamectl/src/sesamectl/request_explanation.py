"""Explanation of one request's outcome, from the logs of the front processes."""

from __future__ import annotations

from collections import Counter
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from sesamepoint import events
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint_core.errors import SesamepointError
from sesamectl.ended_requests import FIRST_REDIRECT_STATUS
from sesamectl.log_lines import decode_line

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Other events of a request's runners are shown if they are at most this many log
# lines before its end. A busy process writes some hundred lines a second.
CONTEXT_LINES = 2000
MAX_CONTEXT_EVENTS = 5
# Fields that are shown separately, or are the same on all lines of one request.
OMITTED_FIELDS = frozenset(('asctime', 'levelname', 'message', 'process', 'event', 'request'))
RUNNER_EVENTS = frozenset(
    event.number
    for event in (
        events.RUNNER_EJECTED,
        events.RUNNER_DRAINING,
        events.RUNNER_UNREGISTERED,
        events.ATTEMPT_ENDED,
        events.LIMIT_REPORTED,
        events.LIMIT_ENDED,
        events.DRAINING_REPORTED,
        events.BACK_OFF_REQUESTED,
    )
)


# Verdicts that the cause alone gives.
_VERDICT_BY_CAUSE: Mapping[str, str] = MappingProxyType(
    {
        FailureCause.rate_limited: (
            'refused: its runners name limits, and these left no permit for it before its deadline'
        ),
        FailureCause.backed_off: 'refused: its runners had asked for rest, and no back-off ended before its deadline',
        FailureCause.draining: 'refused: all runners of its service leave, and no other one is registered',
        FailureCause.origin_unknown: (
            'refused: it goes on with a stream of an earlier attempt, and no instance that was reached knows which '
            'version began that; see found and complete in its line 3221'
        ),
        FailureCause.origin_gone: (
            'could not go on: the version that began its stream has no runner that takes it; its lines 3220 and 3221 '
            'name the version, the lines 3320 when it left'
        ),
        FailureCause.ended_early: (
            'broken off by its runner, which ended the answer before it was whole and without a reset; framing, '
            'read_end and left_over_bytes in its line 3205 tell how; it could not go on elsewhere'
        ),
    }
)


class UnknownRequestError(SesamepointError):
    """No log line names the request."""

    def __init__(self, request_id: str) -> None:
        """Name the request."""
        super().__init__(
            f'no line of the logs names request {request_id}',
            'give the logs of all front processes; lines may also have been left out under load (field suppressed)',
        )


class _LogLine(NamedTuple):
    number: int
    fields: dict[str, Any]


def explain_request(request_id: str, logs: Iterable[str]) -> str:
    """Return the log lines of a request, related events and its outcome.

    Raises
    ------
    UnknownRequestError
        If no line names it.
    """
    lines = [_LogLine(number, fields) for number, text in enumerate(logs) if (fields := decode_line(text))]
    own = [line for line in lines if line.fields.get('request') == request_id]
    if not own:
        raise UnknownRequestError(request_id)
    end = next((line for line in own if line.fields['event'] == events.ANSWER_ENDED.number), own[-1])
    own_lines = [_format_line(line.fields) for line in own]
    preceding = _preceding_events(lines, end, request_id)
    return '\n'.join([f'request {request_id}', *own_lines, *preceding, f'verdict: {_outcome(end.fields, own)}'])


def _format_line(fields: dict[str, Any]) -> str:
    fields_shown = [
        (name, text) for name, text in fields.items() if name not in OMITTED_FIELDS and text not in (None, '')
    ]
    details = ', '.join(f'{name} {text}' for name, text in fields_shown)
    return f'  {fields.get("asctime", "")} {fields.get("process", "")} {fields["message"]}: {details}'


def _preceding_events(lines: list[_LogLine], end: _LogLine, request_id: str) -> list[str]:
    """Return the most frequent events of the request's runners shortly before its end."""
    runners = {*(end.fields.get('runners') or ()), *(end.fields.get('passed_over') or ())}
    recent = (line.fields for line in lines if end.number - CONTEXT_LINES <= line.number <= end.number)
    of_runners = (fields for fields in recent if fields['event'] in RUNNER_EVENTS and fields.get('runner') in runners)
    counts = Counter(
        f'{fields["runner"]}: {fields["message"]} ({fields.get("cause", "")})'
        for fields in of_runners
        if fields.get('request') != request_id
    )
    return [f'  before, {text}, {times} times' for text, times in counts.most_common(MAX_CONTEXT_EVENTS)]


def _outcome(end: dict[str, Any], own: list[_LogLine]) -> str:
    kinds = {line.fields['event'] for line in own}
    known = _known_reason(end, kinds)
    if known:
        return known
    if end['event'] != events.ANSWER_ENDED.number:
        return 'its last line is missing: the process ended, or lines were left out'
    if end.get('unfinished'):
        return _interruption_reason(end, kinds)
    status = end.get('status')
    if status and status < FIRST_REDIRECT_STATUS:
        return f'served in {end["took_ms"]} ms; if that was late, compare expected_ms with first_total_ms and pause_ms'
    return f'answered {status}: see the attempts above'


def _known_reason(end: dict[str, Any], kinds: set[int]) -> str:
    by_cause = _VERDICT_BY_CAUSE.get(end.get('cause', ''))
    if by_cause:
        return by_cause
    if events.REQUEST_REFUSED.number in kinds:
        return 'refused at once: every engine had more work than it could finish before the deadline'
    return ''


def _interruption_reason(end: dict[str, Any], kinds: set[int]) -> str:
    if events.ATTEMPT_ENDED.number in kinds:
        return 'broken off: its runner broke off, and it must not run again'
    if events.CALLER_DISCONNECTED.number in kinds and end.get('first_total_ms') is None:
        return 'the caller left before the first output of its answer'
    if events.CALLER_DISCONNECTED.number in kinds:
        return 'the caller left during its answer'
    return 'broken off at its deadline'


__all__ = ('UnknownRequestError', 'explain_request')
