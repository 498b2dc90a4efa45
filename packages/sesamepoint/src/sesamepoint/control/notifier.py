"""Notification that many tasks can wait for repeatedly."""

from __future__ import annotations

import trio


class Notifier:
    """Wakes all waiting tasks at each notification."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._event = trio.Event()

    def notify_all(self) -> None:
        """Wake all tasks that are waiting now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()

    async def wait_with_timeout(self, timeout_s: float) -> bool:
        """Wait for the next notification, at most ``timeout_s``; return whether it came."""
        event = self._event
        with trio.move_on_after(timeout_s):
            await event.wait()
        return event.is_set()


__all__ = ('Notifier',)
