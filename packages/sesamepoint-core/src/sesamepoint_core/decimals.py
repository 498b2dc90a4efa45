"""Check for plain decimal numbers in text from other processes."""

from __future__ import annotations

import re

_DECIMAL = re.compile(r'\d+(\.\d*)?|\.\d+')


def plain_decimal(text: str) -> str:
    """Return a plain decimal number without the white space around it.

    Raises
    ------
    ValueError
        If ``text`` is no plain decimal number; signs and exponents aren't allowed.
    """
    stripped = text.strip()
    if not _DECIMAL.fullmatch(stripped):
        raise ValueError('not a plain decimal number')
    return stripped


__all__ = ('plain_decimal',)
