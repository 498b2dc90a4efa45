"""``sesamectl explain``: reasons of decisions and of requests' outcomes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint.control.decisions import Decision
from sesamepoint.platform.http import HttpCaller
from sesamepoint.settings_error import SettingsError
from sesamepoint.single_error import single_error
from sesamectl.caller_search import Search, find_requests
from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.commands.figures import figure
from sesamectl.content_search import find_content
from sesamectl.ended import read_ended, second_of_day
from sesamectl.log_lines import opened_logs
from sesamectl.request_walk import explain_request

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 2.0
SHOWN_ALTERNATIVES = 4


@COMMANDS.register('explain')
def explain(arguments: Arguments) -> str:
    """Show the recent decisions of one instance, or explain requests from logs."""
    if arguments['REQUEST-ID']:
        return _walk(arguments)
    if arguments['--caller'] or arguments['--account']:
        return _search(arguments)
    if arguments['--content']:
        return _search_content(arguments)
    caller = HttpCaller('entry', f'http://{arguments["--entry"]}')
    with single_error():
        reply = trio.run(caller.call, 'GET', '/decisions', b'', TIMEOUT_S)
    if arguments['--json']:
        return reply.decode()
    decisions = msgspec.json.decode(reply, type=tuple[Decision, ...])
    return '\n'.join(line for decision in decisions for line in _lines(decision))


def _walk(arguments: Arguments) -> str:
    with opened_logs(arguments['--logs']) as logs:
        return explain_request(arguments['REQUEST-ID'], logs)


def _search(arguments: Arguments) -> str:
    at = arguments['--at']
    try:
        ended_s = second_of_day(at) if at else None
    except ValueError as exc:
        raise SettingsError(f'--at is {at}', 'give the time as the logs have it, as HH:MM:SS') from exc
    within_s = figure(arguments, '--within', math.inf)
    search = Search(arguments['--caller'] or '', arguments['--route'] or '', ended_s, within_s)
    with opened_logs(arguments['--logs'], arguments['--account']) as logs:
        read = read_ended(logs)
    found = find_requests(search, read.ended)
    return '\n'.join([*(found or ['no such request in the logs']), *read.notes()])


def _search_content(arguments: Arguments) -> str:
    with opened_logs(arguments['--logs']) as logs:
        return '\n'.join(find_content(arguments['--content'], logs))


def _lines(decision: Decision) -> Iterator[str]:
    authority = f'version {decision.version}, fencing number {decision.fence}'
    yield f'{decision.at:.1f} s {decision.kind} {decision.subject} ({authority}): {decision.choice}'
    if decision.seen:
        yield '    seen: {0}'.format(', '.join(f'{name} {figure:.3g}' for name, figure in decision.seen.items()))
    for other, score in decision.alternatives[:SHOWN_ALTERNATIVES]:
        yield f'    alternative: {other}, score {score:.1f}'


__all__ = ('explain',)
