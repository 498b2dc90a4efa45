"""A condition that many tasks wait for, again and again."""

from __future__ import annotations

import trio


class Signal:
    """Wakes all who wait each time it is set off."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._event = trio.Event()

    def set_off(self) -> None:
        """Wake all who wait now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next time."""
        await self._event.wait()

    async def wait_at_most(self, timeout_s: float) -> bool:
        """Wait for the next time or ``timeout_s``; tell whether it came."""
        event = self._event
        with trio.move_on_after(timeout_s):
            await event.wait()
        return event.is_set()


__all__ = ('Signal',)
