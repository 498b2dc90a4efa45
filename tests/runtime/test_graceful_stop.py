"""Signals to a process."""

from __future__ import annotations

import os
import signal
from unittest import TestCase

import trio

from sesamepoint.process.graceful_stop import run_until_stopped


class StopTest(TestCase):
    """Real signals, sent by the process to itself."""

    def test_reload_signal_keeps_running(self) -> None:
        """The signal to reload comes twice, before and during the stop.

        Left to its default it ends the process with all its requests; here
        it reloads, and the process winds down only when told to stop.
        """
        seen: list[str] = []

        async def main() -> None:
            os.kill(os.getpid(), signal.SIGHUP)
            while not seen:
                await trio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.sleep_forever()

        async def wind_down() -> None:
            os.kill(os.getpid(), signal.SIGHUP)
            while len(seen) < 2:
                await trio.sleep(0.01)
            seen.append('down')

        trio.run(run_until_stopped, main, wind_down, lambda: seen.append('reload'))
        self.assertEqual(seen, ['reload', 'reload', 'down'])
