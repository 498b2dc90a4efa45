"""Search for all sends of one request by its content id, or of all requests with a part of their prompts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sesamepoint import events
from sesamectl.log_lines import decode_line

if TYPE_CHECKING:
    from collections.abc import Iterable

FAILED_SEND_EVENTS = frozenset((events.ATTEMPT_ENDED.number, events.PREFILL_FAILED.number))


def find_sends(content_id: str, logs: Iterable[str]) -> list[str]:
    """Return a line for each send with that content that failed or ended.

    A last line has the number of attempts, and the runners that broke off
    during one.
    """
    return _report(fields for text in logs if (fields := decode_line(text)) and fields.get('content') == content_id)


def find_part(key: str, logs: Iterable[str]) -> list[str]:
    """Return a line for each send with that part of a prompt, and for what was found out about the part.

    The last line is as that of :func:`find_sends`.
    """
    return _report(fields for text in logs if (fields := decode_line(text)) and _names_part(fields, key))


def _names_part(fields: dict[str, Any], key: str) -> bool:
    return fields.get('part') == key or key in fields.get('parts', ())


def _report(found: Iterable[dict[str, Any]]) -> list[str]:
    lines = sorted(found, key=_logged_at)
    failed = [fields for fields in lines if fields['event'] in FAILED_SEND_EVENTS and 'runner' in fields]
    runners = sorted({fields['runner'] for fields in failed if fields.get('outcome', 'broken') == 'broken'})
    requests = {fields['request'] for fields in lines if fields.get('request')}
    total = f'{len(requests)} attempts of callers; {len(runners)} runners broke off under it'
    return [*map(_describe, lines), f'{total}: {", ".join(runners)}' if runners else total]


def _describe(fields: dict[str, Any]) -> str:
    head = f'{_logged_at(fields)} {fields.get("process", "")} {fields.get("request", "")}: {fields["message"]}'
    if fields['event'] not in FAILED_SEND_EVENTS:
        return f'{head}: {fields.get("cause") or fields.get("status") or fields.get("runner", "")}'
    circumstances = f'after {fields.get("under_way_ms")} ms, beside {fields.get("beside")} others of this instance'
    return f'{head}: {fields.get("runner")}, {fields.get("cause")}, {circumstances}'


def _logged_at(fields: dict[str, Any]) -> str:
    return str(fields.get('asctime', ''))


__all__ = ('find_part', 'find_sends')
