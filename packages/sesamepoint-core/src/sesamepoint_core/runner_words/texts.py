"""Reading the texts in which runners say something of themselves."""

from __future__ import annotations

from sesamepoint_core.decimals import plain_decimal

# A runner rests for no longer than this, in seconds, whatever it says: hardly one lives for longer.
LONGEST_REST_S = 86_400.0
# More digits name more than that in any case, and are not turned into a number.
MAX_DIGITS = 32


def parse_leaving(text: str) -> bool:
    """Return whether ``text`` says that a runner leaves: 1, or 0 for the opposite.

    Raises
    ------
    ValueError
        If it is anything else.
    """
    stripped = text.strip()
    if stripped not in {'0', '1'}:
        raise ValueError('neither 0 nor 1')
    return stripped == '1'


def parse_rest(text: str) -> float:
    """Return the seconds for which ``text`` asks, a plain decimal number, at most :data:`LONGEST_REST_S`.

    Raises
    ------
    ValueError
        If it is anything else, as a date or a number with an exponent.
    """
    seconds = plain_decimal(text)
    if len(seconds.partition('.')[0].lstrip('0')) > MAX_DIGITS:
        return LONGEST_REST_S
    return min(float(seconds), LONGEST_REST_S)


__all__ = ('LONGEST_REST_S', 'parse_leaving', 'parse_rest')
