"""The whole path as separate processes, over sockets."""

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
    """Two front processes, a store and four runners."""

    def test_whole_path(self) -> None:
        """Requests of each kind at each front, a reload, a stop under load, a kill and a restart."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self._play, Path(folder))

    async def _play(self, folder: Path) -> None:
        async with running_processes(configuration(), folder, fronts=2) as bed:
            await self._serve_each_kind(bed)
            bed.fronts[0].process.send_signal(signal.SIGHUP)
            await self._serve_each_kind(bed)
            await self._stop_under_load(bed)
            await bed.add_front()
            bed.fronts[1].process.send_signal(signal.SIGKILL)
            await self._check(bed, 2, asked('/card/a'))
        log = (folder / 'front-1.log').read_text(encoding='utf-8')
        for text in ('process started', 'settings read again', 'graceful stop requested', 'process stopped'):
            self.assertIn(text, log)

    async def _serve_each_kind(self, bed: ProcessBed) -> None:
        for number in range(2):
            for req in (asked('/card/a'), asked('/thumb/a'), asked_prompt('/tag/a'), asked_prompt('/verdict/a', 9000)):
                await self._check(bed, number, req)

    async def _check(self, bed: ProcessBed, number: int, req: Asked) -> None:
        seen = await caller_of(bed.fronts[number]).ask(req)
        self.assertEqual((seen.status, seen.body, seen.whole), (200, req.expected, True))

    async def _stop_under_load(self, bed: ProcessBed) -> None:
        front = bed.fronts[0]
        found: list[Seen] = []
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(_ask_until_stopped, bed, found)
            await trio.sleep(0.2)
            front.process.send_signal(signal.SIGTERM)
            with trio.fail_after(STOP_LIMIT_S):
                while await ready(front):
                    await trio.sleep(0.05)
                # It says so while it still serves, not by being gone.
                self.assertIsNone(front.process.poll())
                await front.process.wait()
        self.assertEqual(front.process.returncode, 0)
        # A connection that was closed with nothing of its request read brings no answer at all.
        self.assertEqual({(seen.status, seen.whole) for seen in found if seen.status}, {(200, True)})


class HarmfulRequestTest(TestCase):
    """Three front processes, and plain runners that end on one request."""

    def test_known_to_all_processes(self) -> None:
        """Two runners end at the first process, one at the second; the third refuses, also when it starts anew."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self._play, Path(folder))

    async def _play(self, folder: Path) -> None:
        async with running_processes(configuration(), folder, fronts=3) as bed:
            for _ in range(3):
                await bed.add_runner('web')
            all_end_on_it(runner for runner in bed.runners if runner.service == 'web')
            await bed.until_all_show('sesamepoint_entries 3.0')
            await bed.until_all_show(f'sesamepoint_runners {len(bed.runners)}.0')
            self.assertEqual((await self._ask(bed, 0)).status, BAD_GATEWAY)
            await bed.until_all_show('sesamepoint_suspects 1.0')
            await bed.until_all_show('sesamepoint_suspect_ends 2.0')
            self.assertEqual((await self._ask(bed, 1)).status, BAD_GATEWAY)
            await bed.until_all_show('sesamepoint_quarantined 1.0')
            self.assertEqual((await self._ask(bed, 2)).status, NOT_RUN)
            bed.fronts[2].process.send_signal(signal.SIGKILL)
            await bed.fronts[2].process.wait()
            await bed.until_ready(await bed.restart_front(2))
            self.assertEqual((await self._ask(bed, 2)).status, NOT_RUN)
            self.assertEqual(len(bed.ended), ENDED_BY_THEN)
            req = asked('/thumb/sound')
            self.assertEqual((await caller_of(bed.fronts[2]).ask(req)).body, req.expected)

    async def _ask(self, bed: ProcessBed, number: int) -> Seen:
        return await caller_of(bed.fronts[number]).ask(harmful_fetch())


async def _ask_until_stopped(bed: ProcessBed, found: list[Seen]) -> None:
    caller = caller_of(bed.fronts[0])
    while bed.fronts[0].process.poll() is None:
        seen = await caller.ask(asked_prompt('/tag/a', output=20))
        found.append(seen)
        if not seen.status:
            await trio.sleep(0.1)
