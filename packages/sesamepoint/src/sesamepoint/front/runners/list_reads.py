"""Waiting for an answer of the store that is newer than a given moment."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

# A read that is requested while another one is under way is requested again after this time, in seconds.
REQUEST_AGAIN_S = 0.1


class ListReads:
    """Reads of the list of runners from the store itself."""

    def __init__(self) -> None:
        """Start before the first read."""
        # Requests a read soon; set by whatever reads the list.
        self.request: Callable[[], None] | None = None
        self._read_at = -math.inf
        self._noted = trio.Event()

    def note_read(self, began_at: float) -> None:
        """Note an answer of the store that was applied, to a call that began at ``began_at``."""
        self._read_at = max(self._read_at, began_at)
        self._noted.set()
        self._noted = trio.Event()

    async def wait_for_read_after(self, moment: float, timeout_s: float) -> bool:
        """Request a read, and wait until one that began after ``moment`` was applied; return whether it was in time."""
        with trio.move_on_after(timeout_s):
            while self._read_at <= moment:
                if self.request is not None:
                    self.request()
                with trio.move_on_after(REQUEST_AGAIN_S):
                    await self._noted.wait()
        return self._read_at > moment


__all__ = ('ListReads',)
