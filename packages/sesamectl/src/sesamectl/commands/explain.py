"""``sesamectl explain``: reasons of decisions and of requests' outcomes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.decoding import decode_json
from sesamepoint.control.decisions import Decision
from sesamepoint.platform.http_client import HttpClient
from sesamepoint.settings_error import SettingsError
from sesamepoint.single_error import single_error
from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.commands.number_options import number_option
from sesamectl.content_search import find_part, find_sends
from sesamectl.ended_requests import read_ended_requests, second_of_day
from sesamectl.log_lines import open_logs
from sesamectl.request_explanation import explain_request
from sesamectl.request_search import RequestFilter, find_requests

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 2.0
MAX_ALTERNATIVES = 4


@COMMANDS.register('explain')
def explain(arguments: Arguments) -> str:
    """Show the recent decisions of one instance, or explain requests from logs."""
    if arguments['REQUEST-ID']:
        return _explain_request(arguments)
    if arguments['--caller'] or arguments['--account']:
        return _search_requests(arguments)
    if arguments['--content'] or arguments['--part']:
        return _search_content(arguments)
    caller = HttpClient('entry', f'http://{arguments["--entry"]}')
    with single_error():
        reply = trio.run(caller.request, 'GET', '/decisions', b'', TIMEOUT_S)
    if arguments['--json']:
        return reply.decode()
    decisions = decode_json(reply, tuple[Decision, ...])
    return '\n'.join(line for decision in decisions for line in _describe_decision(decision))


def _explain_request(arguments: Arguments) -> str:
    with open_logs(arguments['--logs']) as logs:
        return explain_request(arguments['REQUEST-ID'], logs)


def _search_requests(arguments: Arguments) -> str:
    at = arguments['--at']
    try:
        ended_s = second_of_day(at) if at else None
    except ValueError as exc:
        raise SettingsError(f'--at is {at}', 'give the time as the logs have it, as HH:MM:SS') from exc
    within_s = number_option(arguments, '--within', math.inf)
    search = RequestFilter(arguments['--caller'] or '', arguments['--route'] or '', ended_s, within_s)
    with open_logs(arguments['--logs'], arguments['--account']) as logs:
        read = read_ended_requests(logs)
    found = find_requests(search, read.ended)
    return '\n'.join([*(found or ['no such request in the logs']), *read.notes()])


def _search_content(arguments: Arguments) -> str:
    with open_logs(arguments['--logs']) as logs:
        part = arguments['--part']
        return '\n'.join(find_part(part, logs) if part else find_sends(arguments['--content'], logs))


def _describe_decision(decision: Decision) -> Iterator[str]:
    authority = f'version {decision.version}, fencing number {decision.fence}'
    yield f'{decision.decided_at:.1f} s {decision.kind} {decision.subject} ({authority}): {decision.choice}'
    if decision.inputs:
        yield '    seen: {0}'.format(', '.join(f'{name} {figure:.3g}' for name, figure in decision.inputs.items()))
    for other, score in decision.alternatives[:MAX_ALTERNATIVES]:
        yield f'    alternative: {other}, score {score:.1f}'


__all__ = ('explain',)
