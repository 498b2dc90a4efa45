"""``sesamectl budget``: the worst window of repeats of each service, and who sent them."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.log_lines import open_logs
from sesamectl.repeat_windows import RepeatLog

if TYPE_CHECKING:
    from sesamectl.repeat_windows import WorstWindow


@COMMANDS.register('budget')
def budget(arguments: Arguments) -> str:
    """Return the worst window of each service over all instances in the logs, against the bound in force."""
    with open_logs(arguments['--logs']) as logs:
        found = RepeatLog.read(logs)
    if not found.bounds:
        return 'no log line names the bound on repeats (event 3242)'
    if not found.repeats:
        return 'no log line records a repeat (event 3243)'
    notes = ['note: requests without a line on their end, as of a killed process, are not counted']
    sent = [line for window in found.worst_windows() for line in _lines(window, 'sent')]
    read = [line for window in found.worst_read_windows() for line in _lines(window, 'read')]
    return '\n'.join([*sent, *read, *notes])


def _lines(window: WorstWindow, what: str) -> list[str]:
    began_at = datetime.fromtimestamp(window.began_at).strftime('%H:%M:%S.%f')[:-3]  # noqa: DTZ006
    verdict = 'EXCEEDED' if window.excess > 0 else 'kept'
    summary = (
        f'{window.service}: {len(window.repeats)} repeats {what} from {began_at} on for {window.requests} requests, '
        f'{window.allowed:g} allowed, {verdict}'
    )
    parts = (
        (field, ', '.join(f'{name} {count}' for name, count in window.by(field))) for field in ('reason', 'process')
    )
    return [summary, *(f'  by {field}: {text}' for field, text in parts)]


__all__ = ('budget',)
