"""Parsers for the texts of status headers."""

from __future__ import annotations

from sesamepoint_core.decimals import plain_decimal

# Longest back-off in seconds, a day; a longer one is cut to it, as hardly a runner lives for longer.
MAX_BACK_OFF_S = 86_400.0
# A number with more digits before the point is above the longest back-off in any case, and is not parsed.
MAX_DIGITS = 32


def parse_draining(text: str) -> bool:
    """Return whether ``text`` says that a runner is draining: 1 if so, 0 if not.

    Raises
    ------
    ValueError
        If ``text`` is anything else.
    """
    stripped = text.strip()
    if stripped not in {'0', '1'}:
        raise ValueError('neither 0 nor 1')
    return stripped == '1'


def parse_back_off(text: str) -> float:
    """Parse a back-off in seconds, a plain decimal number; a time longer than a day is cut to a day.

    Raises
    ------
    ValueError
        If ``text`` is anything else, such as a date or a number with an exponent.
    """
    seconds = plain_decimal(text)
    if len(seconds.partition('.')[0].lstrip('0')) > MAX_DIGITS:
        return MAX_BACK_OFF_S
    return min(float(seconds), MAX_BACK_OFF_S)


__all__ = ('MAX_BACK_OFF_S', 'parse_back_off', 'parse_draining')
