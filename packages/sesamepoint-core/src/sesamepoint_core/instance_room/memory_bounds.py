"""Bounds on the bytes that an instance holds for others, from its memory limit."""

from __future__ import annotations

import math
from typing import NamedTuple

# Share of the memory limit that is never used: the kernel's buffers, and growth between two measurements.
MARGIN_SHARE = 0.1
# Share of the memory limit that remains available for held bytes however large the process is. Without it an
# instance with a large configuration would refuse all requests.
MIN_ROOM_SHARE = 0.2
# Shares of the room. Python holds a body up to twice while it is joined or encoded.
PAUSE_SHARE = 0.3
REFUSE_SHARE = 0.4
DISCONNECT_SHARE = 0.5


class MemoryBounds(NamedTuple):
    """Bounds on the held bytes, in rising order.

    Parameters
    ----------
    pause
        Above this, nothing more is read from runners for the largest slow readers.
    refuse
        Above this, new requests are refused.
    disconnect
        Above this, the largest slow reader is disconnected.
    """

    pause: float = math.inf
    refuse: float = math.inf
    disconnect: float = math.inf

    @classmethod
    def from_limit(cls, memory_bytes: float, process_bytes: float) -> MemoryBounds:
        """Return the bounds for a limit, given the size of the process without held bytes."""
        if math.isinf(memory_bytes):
            return cls()
        room = max((1 - MARGIN_SHARE) * memory_bytes - process_bytes, MIN_ROOM_SHARE * memory_bytes)
        return cls(PAUSE_SHARE * room, REFUSE_SHARE * room, DISCONNECT_SHARE * room)


__all__ = ('MemoryBounds',)
