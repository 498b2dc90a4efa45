"""Tests of the signals that reload and stop a process."""

from __future__ import annotations

import os
import signal
from unittest import TestCase

import trio

from sesamepoint.process.graceful_stop import run_until_stopped


class StopTest(TestCase):
    """Signals that the process sends to itself."""

    def test_reload_signal_keeps_running(self) -> None:
        """The reload signal arrives twice, before and during the stop.

        By default it would end the process with all its requests. It must reload
        instead, and only the stop signal may shut the process down.
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
