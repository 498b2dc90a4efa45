"""Signals that arrive while a process starts, before its loop handles them.

This module must import nothing that takes time: the default action of each of these signals ends the process.
"""

from __future__ import annotations

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class HeldSignals:
    """Notes signals until a loop takes them over."""

    def __init__(self) -> None:
        """Start without signals."""
        self._received: list[int] = []

    def hold(self) -> None:
        """Note the signals that stop or reload the process from now on."""
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, self._note)

    def take(self) -> list[int]:
        """Return the signals that were noted so far, and forget them."""
        received = self._received
        self._received = []
        return received

    def _note(self, number: int, _: object) -> None:
        self._received.append(number)


held_signals = HeldSignals()

__all__ = ('RELOAD_SIGNAL', 'STOP_SIGNALS', 'HeldSignals', 'held_signals')
