"""Finding what befell each attempt with one request, by its content."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sesamepoint import events
from sesamectl.log_lines import decode_line

if TYPE_CHECKING:
    from collections.abc import Iterable

BROKE = frozenset((events.ATTEMPT_ENDED.number, events.PREFILL_FAILED.number))


def find_content(content_id: str, logs: Iterable[str]) -> list[str]:
    """Return a line for each send with that content that broke or ended, and how many runners broke off under it."""
    lines = [fields for text in logs if (fields := decode_line(text)) and fields.get('content') == content_id]
    lines.sort(key=_time)
    broke = [fields for fields in lines if fields['event'] in BROKE and 'runner' in fields]
    runners = sorted({fields['runner'] for fields in broke if fields.get('outcome', 'broken') == 'broken'})
    requests = {fields['request'] for fields in lines if 'request' in fields}
    told = f'{len(requests)} attempts of callers; {len(runners)} runners broke off under it'
    return [*map(_line, lines), f'{told}: {", ".join(runners)}' if runners else told]


def _line(fields: dict[str, Any]) -> str:
    begun = f'{_time(fields)} {fields.get("process", "")} {fields.get("request", "")}: {fields["message"]}'
    if fields['event'] not in BROKE:
        return f'{begun}: {fields.get("cause") or fields.get("status", "")}'
    after = f'after {fields.get("under_way_ms")} ms, beside {fields.get("beside")} others of this instance'
    return f'{begun}: {fields.get("runner")}, {fields.get("cause")}, {after}'


def _time(fields: dict[str, Any]) -> str:
    return str(fields.get('asctime', ''))


__all__ = ('find_content',)
