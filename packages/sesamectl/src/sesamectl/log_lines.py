"""Reading log lines of front processes, also with other text around them."""

from __future__ import annotations

from typing import Any

import msgspec


def decode_line(text: str) -> dict[str, Any] | None:
    """Return the fields of a log line, or None if ``text`` is none."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    return fields if isinstance(fields, dict) and 'event' in fields else None


__all__ = ('decode_line',)
