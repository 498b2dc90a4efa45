"""Odd entries in the list of runners, before real processes."""

from __future__ import annotations

import tempfile
from pathlib import Path
from unittest import TestCase

import trio

from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_standins.platform.process_bench import ProcessBench, new_caller, open_process_bench
from tests.front.builders import configuration, new_request, plain_runner
from tests.front.odd_values.odd_documents import huge, nested, with_value

READ_S = 2.0
REQUESTS = 30


class OddProcessesTest(TestCase):
    """Instances that run while an odd entry comes, and one that starts after it."""

    def test_entries_beside_processes(self) -> None:
        """Guards against instances that end, stop following the list, or answer nothing after one odd entry."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self._run, Path(folder))

    async def _run(self, folder: Path) -> None:
        sound = plain_runner(9).registration
        async with open_process_bench(configuration(), folder, fronts=2) as bench:
            bench.store.put_raw(RUNNER_TOPIC, 'i-nested', with_value(sound, 'x', nested(100_000)))
            bench.store.put_raw(RUNNER_TOPIC, 'i-huge', with_value(sound, 'slots', huge(400)))
            await trio.sleep(READ_S)
            late = await bench.add_runner('web')
            await bench.add_front()
            await trio.sleep(READ_S)
            await self._check_answered(bench)
            self.assertTrue(late.runs)
            self.assertEqual([front.process.poll() for front in bench.fronts], [None, None, None])

    async def _check_answered(self, bench: ProcessBench) -> None:
        for front in bench.fronts:
            for _ in range(REQUESTS):
                answer = await new_caller(front).send(new_request('/thumb/a'))
                self.assertEqual(answer.status, 200)
