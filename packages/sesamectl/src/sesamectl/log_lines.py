"""Reading of log lines of front processes, also with other text around them."""

from __future__ import annotations

import sys
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sesamepoint_core.decoding import UndecodableError, decode_json

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


def decode_line(text: str) -> dict[str, Any] | None:
    """Return the fields of the log line in ``text``, or None if it holds none."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = decode_json(text[start:].encode(errors='replace'), dict[str, Any])
    except UndecodableError:
        return None
    return fields if 'event' in fields else None


@contextmanager
def open_logs(name: str | None, account: str | None = None) -> Iterator[Iterable[str]]:
    """Open the file ``name``, or standard input if it is None, and yield its lines.

    With an ``account``, yield only the lines on the ends of its requests. Text
    that is no log line stays, so that it is counted.
    """
    if name is None:
        yield _filter_account(sys.stdin, account)
        return
    with Path(name).open(encoding='utf-8', errors='replace') as logs:
        yield _filter_account(logs, account)


def _filter_account(lines: Iterable[str], account: str | None) -> Iterator[str]:
    for text in lines:
        fields = decode_line(text) if account else None
        if fields is None or fields.get('account') == account:
            yield text


__all__ = ('decode_line', 'open_logs')
