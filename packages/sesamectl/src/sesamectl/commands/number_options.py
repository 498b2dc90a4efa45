"""Numbers among the options of the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.settings_error import SettingsError

if TYPE_CHECKING:
    from sesamectl.commands.base import Arguments


def number_option(arguments: Arguments, name: str, upper_bound: float) -> float:
    """Return the number of an option, which must lie between 0 and an upper bound.

    Raises
    ------
    SettingsError
        If it is no number, or out of bounds.
    """
    try:
        number = float(arguments[name])
    except ValueError as exc:
        raise SettingsError(f'{name}: {exc}', 'give a number') from exc
    if not 0 < number < upper_bound:
        raise SettingsError(f'{name} is {number:g}', f'give a number above 0 and below {upper_bound:g}')
    return number


__all__ = ('number_option',)
