"""Readable messages for validation errors of pydantic."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pydantic import ValidationError
    from pydantic_core import ErrorDetails

_REMEDIES = MappingProxyType(
    {
        'extra_forbidden': 'remove it, or mend its spelling',
        'unexpected_keyword_argument': 'remove it, or mend its spelling',
        'missing': 'add it',
        'missing_argument': 'add it',
        'literal_error': 'use one of those',
        'json_invalid': 'mend the JSON',
    }
)


def describe_errors(exc: ValidationError) -> Iterator[str]:
    """Yield a line ``path: problem; remedy`` for each error."""
    for error in exc.errors():
        path = '.'.join(str(part) for part in error['loc']) or 'document'
        yield f'{path}: {_found(error)}; {_REMEDIES.get(error["type"], "change it")}'


def _found(error: ErrorDetails) -> str:
    message = error['msg']
    if error['type'].startswith('missing'):
        return message
    shown = repr(error['input'])
    return f'{message}, found {shown:.60}'


__all__ = ('describe_errors',)
