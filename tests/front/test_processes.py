"""Fronts, store and runners as separate processes over sockets."""

from __future__ import annotations

import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.processes import ProcessBed, caller_of, ready, running_processes
from tests.front.builders import asked, asked_prompt, configuration
from tests.front.harmful import ENDED_BY_THEN, all_end_on_it, harmful_fetch

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import Asked, Seen

STOP_LIMIT_S = 30.0
BAD_GATEWAY = 502
NOT_RUN = 503


class ProcessTest(TestCase):
    """Two front processes with a store and four runners."""

    def test_whole_path(self) -> None:
        """Send each kind of request to each front; reload and stop one under load, start a third, kill the second."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self._play, Path(folder))

    async def _play(self, folder: Path) -> None:
        async with running_processes(configuration(), folder, fronts=2) as bench:
            await self._serve_each_kind(bench)
            bench.fronts[0].process.send_signal(signal.SIGHUP)
            await self._serve_each_kind(bench)
            await self._stop_under_load(bench)
            await bench.add_front()
            bench.fronts[1].process.send_signal(signal.SIGKILL)
            await self._check(bench, 2, asked('/card/a'))
        log = (folder / 'front-1.log').read_text(encoding='utf-8')
        for text in ('process started', 'settings read again', 'graceful stop requested', 'process stopped'):
            self.assertIn(text, log)

    async def _serve_each_kind(self, bed: ProcessBed) -> None:
        for number in range(2):
            for request in (
                asked('/card/a'),
                asked('/thumb/a'),
                asked_prompt('/tag/a'),
                asked_prompt('/verdict/a', 9000),
            ):
                await self._check(bed, number, request)

    async def _check(self, bed: ProcessBed, number: int, req: Asked) -> None:
        answer = await caller_of(bed.fronts[number]).ask(req)
        self.assertEqual((answer.status, answer.body, answer.whole), (200, req.expected, True))

    async def _stop_under_load(self, bed: ProcessBed) -> None:
        front = bed.fronts[0]
        answers: list[Seen] = []
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(_ask_until_stopped, bed, answers)
            await trio.sleep(0.2)
            front.process.send_signal(signal.SIGTERM)
            with trio.fail_after(STOP_LIMIT_S):
                while await ready(front):
                    await trio.sleep(0.05)
                # It reports not ready while it still serves, not because it has ended.
                self.assertIsNone(front.process.poll())
                await front.process.wait()
        self.assertEqual(front.process.returncode, 0)
        # There is no answer if a connection was closed before any of its request was read.
        self.assertEqual({(answer.status, answer.whole) for answer in answers if answer.status}, {(200, True)})


class HarmfulRequestTest(TestCase):
    """Three front processes, and plain runners that crash on a poison request."""

    def test_known_to_all_processes(self) -> None:
        """Two runners end at the first front and one at the second; the third refuses, also after a restart."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self._play, Path(folder))

    async def _play(self, folder: Path) -> None:
        async with running_processes(configuration(), folder, fronts=3) as bench:
            for _ in range(3):
                await bench.add_runner('web')
            all_end_on_it(runner for runner in bench.runners if runner.service == 'web')
            await bench.until_all_show('sesamepoint_entries 3.0')
            await bench.until_all_show(f'sesamepoint_runners {len(bench.runners)}.0')
            self.assertEqual((await self._ask(bench, 0)).status, BAD_GATEWAY)
            await bench.until_all_show('sesamepoint_suspects 1.0')
            await bench.until_all_show('sesamepoint_suspect_ends 2.0')
            self.assertEqual((await self._ask(bench, 1)).status, BAD_GATEWAY)
            await bench.until_all_show('sesamepoint_quarantined 1.0')
            self.assertEqual((await self._ask(bench, 2)).status, NOT_RUN)
            bench.fronts[2].process.send_signal(signal.SIGKILL)
            await bench.fronts[2].process.wait()
            await bench.until_ready(await bench.restart_front(2))
            self.assertEqual((await self._ask(bench, 2)).status, NOT_RUN)
            self.assertEqual(len(bench.ended), ENDED_BY_THEN)
            request = asked('/thumb/sound')
            self.assertEqual((await caller_of(bench.fronts[2]).ask(request)).body, request.expected)

    async def _ask(self, bed: ProcessBed, number: int) -> Seen:
        return await caller_of(bed.fronts[number]).ask(harmful_fetch())


async def _ask_until_stopped(bed: ProcessBed, found: list[Seen]) -> None:
    caller = caller_of(bed.fronts[0])
    while bed.fronts[0].process.poll() is None:
        answer = await caller.ask(asked_prompt('/tag/a', output=20))
        found.append(answer)
        if not answer.status:
            await trio.sleep(0.1)
