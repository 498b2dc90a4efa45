"""Turning SIGTERM into a graceful stop."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run_until_stopped(
    main: Callable[[], Awaitable[None]],
    wind_down: Callable[[], Awaitable[None]],
) -> None:
    """Run ``main``; on a signal run ``wind_down``, then cancel ``main``."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(main)
        with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
            await anext(signals)
            events.log_event(events.STOP_REQUESTED)
            await wind_down()
        nursery.cancel_scope.cancel()
    events.log_event(events.PROCESS_STOPPED)


__all__ = ('run_until_stopped',)
