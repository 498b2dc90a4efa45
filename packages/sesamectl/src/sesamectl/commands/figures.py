"""Figures on the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.settings_error import SettingsError

if TYPE_CHECKING:
    from sesamectl.commands.base import Arguments


def figure(arguments: Arguments, name: str, below: float) -> float:
    """Return the figure of an option, which must lie between 0 and ``below``.

    Raises
    ------
    SettingsError
        If it is none, or lies elsewhere.
    """
    try:
        found = float(arguments[name])
    except ValueError as exc:
        raise SettingsError(f'{name}: {exc}', 'give a number') from exc
    if not 0 < found < below:
        raise SettingsError(f'{name} is {found:g}', f'give a number above 0 and below {below:g}')
    return found


__all__ = ('figure',)
