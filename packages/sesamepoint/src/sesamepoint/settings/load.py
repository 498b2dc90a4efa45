"""Reading JSON with comments, checked as a whole."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import json5
from pydantic import TypeAdapter, ValidationError

from sesamepoint_core.problems import describe
from sesamepoint.settings_error import SettingsError

SettingsT = TypeVar('SettingsT')


def read_document(path: Path) -> Any:
    """Return the document in a file of JSON with comments.

    Raises
    ------
    SettingsError
        If the file cannot be read or is not such a document.
    """
    try:
        return json5.loads(path.read_text(encoding='utf-8'), allow_duplicate_keys=False)
    except OSError as exc:
        raise SettingsError(f'{path}: {exc.strerror}', 'name a file that can be read') from exc
    except ValueError as exc:
        first = str(exc).partition('\n')[0]
        raise SettingsError(f'{path}: document: {first}', 'mend the JSON') from exc


def load_settings(path: Path, kind: type[SettingsT]) -> SettingsT:
    """Return the checked settings in ``path``.

    Raises
    ------
    SettingsError
        On the first thing that is wrong, with its path in the document.
    """
    return checked(path, read_document(path), kind)


def checked(path: Path, document: Any, kind: type[SettingsT]) -> SettingsT:
    """Return ``document`` as a ``kind``; ``path`` tells where it came from.

    Raises
    ------
    SettingsError
        On the first thing that is wrong, with its path in the document.
    """
    try:
        return TypeAdapter(kind).validate_python(document, strict=True)
    except ValidationError as exc:
        found, _, remedy = next(describe(exc)).rpartition('; ')
        raise SettingsError(f'{path}: {found}', remedy) from exc


__all__ = ('SettingsError', 'checked', 'load_settings', 'read_document')
