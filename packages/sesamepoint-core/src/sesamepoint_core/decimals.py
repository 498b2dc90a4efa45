"""Plain decimal numbers in texts of others."""

from __future__ import annotations

import re

_DECIMAL = re.compile(r'\d+(\.\d*)?|\.\d+')


def plain_decimal(text: str) -> str:
    """Return ``text`` without the white space around it.

    Raises
    ------
    ValueError
        If it is no plain decimal number: it has a sign, an exponent, or anything else.
    """
    stripped = text.strip()
    if not _DECIMAL.fullmatch(stripped):
        raise ValueError('not a plain decimal number')
    return stripped


__all__ = ('plain_decimal',)
