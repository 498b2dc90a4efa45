"""Conversions between internal units and those of messages, settings and logs."""

from __future__ import annotations

MS_PER_S = 1000
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
BYTES_PER_MEGABYTE = 1_000_000


def whole_ms(seconds: float) -> int:
    """Return ``seconds`` as whole milliseconds."""
    return round(seconds * MS_PER_S)


def from_ms(milliseconds: float) -> float:
    """Return ``milliseconds`` in seconds."""
    return milliseconds / MS_PER_S


__all__ = ('BITS_PER_BYTE', 'BITS_PER_MEGABIT', 'BYTES_PER_MEGABYTE', 'MS_PER_S', 'from_ms', 'whole_ms')
