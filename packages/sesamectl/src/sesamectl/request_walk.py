"""From a request's id to its cause, by the logs of the front processes."""

from __future__ import annotations

from collections import Counter
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from sesamepoint import events
from sesamepoint.front.failure_cause import FailureCause
from sesamepoint_core.errors import SesamepointError
from sesamectl.ended import FIRST_REDIRECT
from sesamectl.log_lines import decode_line

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# What else happened to the runners of a request is shown if it lies so many
# log lines before its end or less; busy processes write some hundred a second.
LINES_BEFORE = 2000
CAUSES_SHOWN = 5
# Shown apart, or the same on all lines of one request.
HEADINGS = frozenset(('asctime', 'levelname', 'message', 'process', 'event', 'request'))
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


# By what its runners have said of themselves.
_REFUSED_BY_WORDS: Mapping[str, str] = MappingProxyType(
    {
        FailureCause.rate_limited: 'refused: its runners name limits, and it had no place among what they take in its time',
        FailureCause.backed_off: 'refused: its runners had asked for rest, and none ended in its time',
        FailureCause.draining: 'refused: all runners of its service leave, and no other one is registered',
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


class _Line(NamedTuple):
    place: int
    fields: dict[str, Any]


def explain_request(request_id: str, logs: Iterable[str]) -> str:
    """Return what the logs tell of a request, and a verdict.

    Raises
    ------
    UnknownRequestError
        If no line names it.
    """
    lines = [_Line(place, fields) for place, text in enumerate(logs) if (fields := decode_line(text))]
    own = [line for line in lines if line.fields.get('request') == request_id]
    if not own:
        raise UnknownRequestError(request_id)
    end = next((line for line in own if line.fields['event'] == events.ANSWER_ENDED.number), own[-1])
    shown = [_show(line.fields) for line in own]
    around = _around(lines, end, request_id)
    return '\n'.join([f'request {request_id}', *shown, *around, f'verdict: {_verdict(end.fields, own)}'])


def _show(fields: dict[str, Any]) -> str:
    known = [(name, text) for name, text in fields.items() if name not in HEADINGS and text not in (None, '')]
    rest = ', '.join(f'{name} {text}' for name, text in known)
    return f'  {fields.get("asctime", "")} {fields.get("process", "")} {fields["message"]}: {rest}'


def _around(lines: list[_Line], end: _Line, request_id: str) -> list[str]:
    """Count what happened to the request's runners shortly before its end."""
    runners = {*(end.fields.get('runners') or ()), *(end.fields.get('passed_over') or ())}
    near = (line.fields for line in lines if end.place - LINES_BEFORE <= line.place <= end.place)
    of_runners = (fields for fields in near if fields['event'] in RUNNER_EVENTS and fields.get('runner') in runners)
    found = Counter(
        f'{fields["runner"]}: {fields["message"]} ({fields.get("cause", "")})'
        for fields in of_runners
        if fields.get('request') != request_id
    )
    return [f'  before, {text}, {times} times' for text, times in found.most_common(CAUSES_SHOWN)]


def _verdict(end: dict[str, Any], own: list[_Line]) -> str:
    kinds = {line.fields['event'] for line in own}
    refused = _refused(end, kinds)
    if refused:
        return refused
    if end['event'] != events.ANSWER_ENDED.number:
        return 'its last line is missing: the process ended, or lines were left out'
    if end.get('unfinished'):
        return _broken_off(end, kinds)
    status = end.get('status')
    if status and status < FIRST_REDIRECT:
        return f'served in {end["took_ms"]} ms; if that was late, compare expected_ms with first_total_ms and pause_ms'
    return f'answered {status}: see the attempts above'


def _refused(end: dict[str, Any], kinds: set[int]) -> str:
    by_words = _REFUSED_BY_WORDS.get(end.get('cause', ''))
    if by_words:
        return by_words
    if events.REQUEST_REFUSED.number in kinds:
        return 'refused at once: every engine had more work than would have been done in its time'
    return ''


def _broken_off(end: dict[str, Any], kinds: set[int]) -> str:
    if events.ATTEMPT_ENDED.number in kinds:
        return 'broken off: its runner broke off, and it may not run again'
    if events.CALLER_DISCONNECTED.number in kinds and end.get('first_total_ms') is None:
        return 'the caller left before the first of its answer'
    if events.CALLER_DISCONNECTED.number in kinds:
        return 'the caller left in the middle of its answer'
    return 'broken off at its deadline'


__all__ = ('UnknownRequestError', 'explain_request')
