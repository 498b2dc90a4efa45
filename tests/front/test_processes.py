"""Fronts, store and runners as separate processes over sockets."""

from __future__ import annotations

import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.process_bench import ProcessBench, is_ready, new_caller, open_process_bench
from tests.front.builders import configuration, new_prompt_request, new_request
from tests.front.poison_requests import ENDS_UNTIL_DETECTION, end_on_poison, poison_plain_request

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec

STOP_TIMEOUT_S = 30.0
# A process takes longer to start, in seconds.
NOT_READY_S = 0.05
STATUS_BAD_GATEWAY = 502
STATUS_NOT_RUN = 503
# A new process lets each request pay for 0.0475 of a retry.
REQUESTS_PER_RETRY = 22


class FrontProcessTest(TestCase):
    """Two front processes with a store and four runners."""

    def test_lifecycle_under_load(self) -> None:
        """Send each kind of request to each front; reload and stop one under load, start a third, kill the second."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self._run_scenario, Path(folder))

    def test_kill_replacement_not_ready(self) -> None:
        """Guards against a process that runs on after its test, which ended before it was ready to replace another."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self._end_while_replacing, Path(folder))

    async def _run_scenario(self, directory: Path) -> None:
        async with open_process_bench(configuration(), directory, fronts=2) as bench:
            await self._check_each_kind(bench)
            bench.fronts[0].process.send_signal(signal.SIGHUP)
            await self._check_each_kind(bench)
            await self._stop_under_load(bench)
            await bench.add_front()
            bench.fronts[1].process.send_signal(signal.SIGKILL)
            await self._check(bench, 2, new_request('/card/a'))
        log = (directory / 'front-1.log').read_text(encoding='utf-8')
        for text in ('process started', 'settings read again', 'graceful stop requested', 'process stopped'):
            self.assertIn(text, log)

    async def _end_while_replacing(self, directory: Path) -> None:
        async with trio.open_nursery() as nursery:
            bench = ProcessBench(nursery, directory)
            await bench.start(configuration())
            await bench.add_front()
            with trio.move_on_after(NOT_READY_S):
                await bench.replace_front(0, 2)
            bench.kill_fronts()
            with trio.move_on_after(STOP_TIMEOUT_S):
                for process in bench.processes:
                    await process.wait()
            ends = [started.returncode for started in bench.processes]
            self.assertEqual(ends, [-signal.SIGKILL, -signal.SIGKILL])
            nursery.cancel_scope.cancel()

    async def _check_each_kind(self, bench: ProcessBench) -> None:
        for number in range(2):
            for request in (
                new_request('/card/a'),
                new_request('/thumb/a'),
                new_prompt_request('/tag/a'),
                new_prompt_request('/verdict/a', 9000),
            ):
                await self._check(bench, number, request)

    async def _check(self, bench: ProcessBench, index: int, req: RequestSpec) -> None:
        answer = await new_caller(bench.fronts[index]).send(req)
        self.assertEqual((answer.status, answer.body, answer.complete), (200, req.expected_body, True))

    async def _stop_under_load(self, bench: ProcessBench) -> None:
        front = bench.fronts[0]
        answers: list[CallerAnswer] = []
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(_send_until_stopped, bench, answers)
            await trio.sleep(0.2)
            front.process.send_signal(signal.SIGTERM)
            with trio.fail_after(STOP_TIMEOUT_S):
                while await is_ready(front):
                    await trio.sleep(0.05)
                # It reports not ready while it still serves, not because it has ended.
                self.assertIsNone(front.process.poll())
                await front.process.wait()
        self.assertEqual(front.process.returncode, 0)
        # There is no answer if a connection was closed before any of its request was read.
        self.assertEqual({(answer.status, answer.complete) for answer in answers if answer.status}, {(200, True)})


class PoisonRequestTest(TestCase):
    """Three front processes, and plain runners that crash on a poison request."""

    def test_quarantined_by_all_processes(self) -> None:
        """Two runners end at the first front and one at the second; the third refuses, also after a restart."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self._run_scenario, Path(folder))

    async def _run_scenario(self, directory: Path) -> None:
        async with open_process_bench(configuration(), directory, fronts=3) as bench:
            for _ in range(3):
                await bench.add_runner('web')
            end_on_poison(runner for runner in bench.runners if runner.service == 'web')
            await bench.wait_until_all_show('sesamepoint_entries 3.0')
            await bench.wait_until_all_show(f'sesamepoint_runners {len(bench.runners)}.0')
            await _earn_retries(bench)
            self.assertEqual((await self._send_poison_request(bench, 0)).status, STATUS_BAD_GATEWAY)
            await bench.wait_until_all_show('sesamepoint_suspects 1.0')
            await bench.wait_until_all_show('sesamepoint_suspect_ends 2.0')
            self.assertEqual((await self._send_poison_request(bench, 1)).status, STATUS_BAD_GATEWAY)
            await bench.wait_until_all_show('sesamepoint_quarantined 1.0')
            self.assertEqual((await self._send_poison_request(bench, 2)).status, STATUS_NOT_RUN)
            bench.fronts[2].process.send_signal(signal.SIGKILL)
            await bench.fronts[2].process.wait()
            await bench.wait_until_ready(await bench.restart_front(2))
            self.assertEqual((await self._send_poison_request(bench, 2)).status, STATUS_NOT_RUN)
            self.assertEqual(len(bench.crashed), ENDS_UNTIL_DETECTION)
            request = new_request('/thumb/sound')
            self.assertEqual((await new_caller(bench.fronts[2]).send(request)).body, request.expected_body)

    async def _send_poison_request(self, bench: ProcessBench, index: int) -> CallerAnswer:
        return await new_caller(bench.fronts[index]).send(poison_plain_request())


async def _earn_retries(bench: ProcessBench) -> None:
    """Send sound requests: fronts that have just started may retry by what their requests earn only."""
    for front in bench.fronts:
        for _ in range(REQUESTS_PER_RETRY):
            await new_caller(front).send(new_request('/thumb/sound'))


async def _send_until_stopped(bench: ProcessBench, answers: list[CallerAnswer]) -> None:
    caller = new_caller(bench.fronts[0])
    while bench.fronts[0].process.poll() is None:
        answer = await caller.send(new_prompt_request('/tag/a', output=20))
        answers.append(answer)
        if not answer.status:
            await trio.sleep(0.1)
