"""Signals that come while a front process starts, with real processes."""

from __future__ import annotations

import signal
import subprocess  # noqa: S404
import sys
import tempfile
import time
from pathlib import Path
from unittest import TestCase

import trio

from sesamepoint_standins.platform.process_bench import open_process_bench
from tests.front.builders import configuration

STEP_S = 0.02
EXIT_TIMEOUT_S = 20.0
# Pauses between the moment at which signals are held and the signal that stops the process, in seconds.
STOPPED_AFTER_S = (0, 0.1, 0.2)
LIST_MODULES = 'import sys, sesamepoint.cli; print(*sys.modules)'
# Bit of the first signal, SIGHUP, in the mask of handled signals.
HANGUP_BIT = 1


def handles_hangup(pid: int) -> bool:
    """Return whether a process has a handler for SIGHUP."""
    lines = Path(f'/proc/{pid}/status').read_text(encoding='ascii').splitlines()
    mask = next(line.split()[1] for line in lines if line.startswith('SigCgt'))
    return bool(int(mask, 16) & HANGUP_BIT)


def wait_until_held(process: trio.Process) -> None:
    """Wait until signals are held, without a pause that would let the start go on unseen."""
    while not handles_hangup(process.pid):
        time.sleep(0.001)  # noqa: ASYNC251


class HeldSignalsTest(TestCase):
    """Signals between the start of a process and the start of its loop."""

    def test_held_before_imports(self) -> None:
        """Guards against imports, of some tenths of a second, before signals are held."""
        command = [sys.executable, '-c', LIST_MODULES]
        run = subprocess.run(command, capture_output=True, check=True, text=True)  # noqa: S603
        self.assertEqual({'trio', 'docopt', 'sesamepoint.events'}.intersection(run.stdout.split()), set())

    def test_reload_at_each_moment(self) -> None:
        """Guards against a signal to reload that ends a process which is about to start."""

        async def check(folder: Path) -> None:
            async with open_process_bench(configuration(), folder, 1) as bench:
                await self._kill(bench.fronts[0].process)
                front = await bench.restart_front(0)
                wait_until_held(front.process)
                while not front.has_started():
                    front.process.send_signal(signal.SIGHUP)
                    await trio.sleep(STEP_S)
                await bench.wait_until_ready(front)
                self.assertIsNone(front.process.poll())

        self._run(check)

    def test_stop_at_each_moment(self) -> None:
        """Guards against a stop during the start that ends with an error, or is lost."""

        async def check(folder: Path) -> None:
            async with open_process_bench(configuration(), folder, 1) as bench:
                await self._kill(bench.fronts[0].process)
                for pause_s in STOPPED_AFTER_S:
                    front = await bench.restart_front(0)
                    wait_until_held(front.process)
                    await trio.sleep(pause_s)
                    front.process.send_signal(signal.SIGTERM)
                    self.assertEqual(await self._exit_status(front.process), 0)

        self._run(check)

    async def _exit_status(self, process: trio.Process) -> int:
        with trio.fail_after(EXIT_TIMEOUT_S):
            return await process.wait()

    async def _kill(self, process: trio.Process) -> None:
        process.kill()
        await process.wait()

    def _run(self, check: object) -> None:
        with tempfile.TemporaryDirectory() as folder:
            trio.run(check, Path(folder))  # type: ignore[arg-type]
