"""The error of settings that nothing may start from."""

from __future__ import annotations

from sesamepoint_core.errors import SesamepointError


class SettingsError(SesamepointError):
    """A settings file that nothing may start from."""


__all__ = ('SettingsError',)
