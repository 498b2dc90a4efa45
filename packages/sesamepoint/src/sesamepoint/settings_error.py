"""The error raised for invalid settings."""

from __future__ import annotations

from sesamepoint_core.errors import SesamepointError


class SettingsError(SesamepointError):
    """A settings file is missing or invalid."""


__all__ = ('SettingsError',)
