"""Loading and validation of settings files: JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import json5
from pydantic import TypeAdapter, ValidationError

from sesamepoint_core.validation_errors import describe_errors
from sesamepoint.settings_error import SettingsError

SettingsT = TypeVar('SettingsT')


def read_document(path: Path) -> Any:
    """Read a file of JSON with comments.

    Raises
    ------
    SettingsError
        If the file cannot be read, or is not valid JSON with comments.
    """
    try:
        return json5.loads(path.read_text(encoding='utf-8'), allow_duplicate_keys=False)
    except OSError as exc:
        raise SettingsError(f'{path}: {exc.strerror}', 'name a readable file') from exc
    except ValueError as exc:
        first = str(exc).partition('\n')[0]
        raise SettingsError(f'{path}: document: {first}', 'correct the JSON') from exc


def load_settings(path: Path, settings_type: type[SettingsT]) -> SettingsT:
    """Read and validate the settings file ``path``.

    Raises
    ------
    SettingsError
        With the first invalid field and its path in the document.
    """
    return validate_settings(path, read_document(path), settings_type)


def validate_settings(path: Path, document: Any, settings_type: type[SettingsT]) -> SettingsT:
    """Validate ``document`` against a type; ``path`` is its source, for errors.

    Raises
    ------
    SettingsError
        With the first invalid field and its path in the document.
    """
    try:
        return TypeAdapter(settings_type).validate_python(document, strict=True)
    except ValidationError as exc:
        problem, _, remedy = next(describe_errors(exc)).rpartition('; ')
        raise SettingsError(f'{path}: {problem}', remedy) from exc


__all__ = ('SettingsError', 'load_settings', 'read_document', 'validate_settings')
