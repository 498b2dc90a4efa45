"""Graceful stop and reload of a process on signals."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.held_signals import RELOAD_SIGNAL, STOP_SIGNALS, held_signals

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable


def _do_nothing() -> None:
    """Ignore the signal to reload."""


async def run_until_stopped(
    main: Callable[[], Awaitable[None]],
    wind_down: Callable[[], Awaitable[None]],
    reload: Callable[[], None] = _do_nothing,
) -> None:
    """Run ``main``; on SIGTERM or SIGINT run ``wind_down``, then cancel ``main``.

    SIGHUP runs ``reload``, also during ``wind_down``: its default action would
    end the process at once, with all its requests. A stop that was requested during the start ends the process
    before it serves anything.
    """
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(*STOP_SIGNALS, RELOAD_SIGNAL) as signals:
            if not _stopped_during_start(reload):
                nursery.start_soon(main)
                await _until_stop(signals, reload)
                events.log_event(events.STOP_REQUESTED)
                nursery.start_soon(_until_stop, signals, reload)
                await wind_down()
        nursery.cancel_scope.cancel()
    events.log_event(events.PROCESS_STOPPED)


def _stopped_during_start(reload: Callable[[], None]) -> bool:
    """Handle the signals that came during the start; return whether one of them stops the process."""
    held = held_signals.take()
    if any(number in STOP_SIGNALS for number in held):
        events.log_event(events.STOP_REQUESTED)
        return True
    if held:
        # The settings may have been read before the signal came.
        reload()
    return False


async def _until_stop(signals: AsyncIterator[int], reload: Callable[[], None]) -> None:
    async for number in signals:
        if number != RELOAD_SIGNAL:
            return
        reload()


__all__ = ('run_until_stopped',)
