"""Builders of log lines of front processes."""

from __future__ import annotations

from typing import Any

import msgspec

from sesamepoint import events

RUNNER = 'i-7'


def log_line(event: events.Event, second: int = 0, **fields: Any) -> str:
    """Return one log line of a front process."""
    logged_at = f'2026-05-01 08:00:{second:02},000'
    common = {'asctime': logged_at, 'message': event.text, 'process': 'front-1', 'event': event.number}
    return msgspec.json.encode({**common, **fields}).decode()


def end_line(request: str, second: int = 0, **changes: Any) -> str:
    """Return the log line on the end of a request."""
    base = {
        'route': 'verdicts',
        'status': 200,
        'unfinished': False,
        'refused': False,
        'on_time': True,
        'runners': [RUNNER],
        'took_ms': 120,
        'first_total_ms': 60,
        'returned': False,
        'cause': '',
        'target_ms': 300,
        'held_ms': 0,
        'wait_expected_ms': None,
        'need': '',
        'pause_ms': 20,
        'pause_limit_ms': 150,
        'sends': 1,
        'tokens': 2000,
        'answer_tokens': 10,
        'work_ms': 20,
    }
    return log_line(events.ANSWER_ENDED, second, request=request, **{**base, **changes})


__all__ = ('RUNNER', 'end_line', 'log_line')
