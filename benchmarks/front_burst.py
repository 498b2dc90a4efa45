"""Processor time of one front process for each request of a burst of short prompts.

Run: python -m benchmarks.front_burst [--profile FILE]

With ``--profile`` the front runs under cProfile and writes its profile to FILE.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING
from unittest.mock import patch

import trio

from sesamepoint_standins.platform import process_bench
from tests.front.builders import configuration, new_prompt_request

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint_standins.platform.caller import CallerAnswer

ENGINES = 24
CALLERS = 40
REQUESTS = 50
WARM_UP = 5
# Share of the largest processor time that one process may use: its rate of requests is limited by callers.
PAUSE_S = 0.1
MS_PER_S = 1000


def main() -> None:
    """Print the processor time of a request."""
    profile = sys.argv[2] if len(sys.argv) > 2 else ''
    with tempfile.TemporaryDirectory() as folder, _profiled(profile):
        trio.run(_measure, Path(folder))


async def _measure(folder: Path) -> None:
    async with process_bench.open_process_bench(configuration(), folder, fronts=0) as bench:
        for number in range(ENGINES):
            await bench.add_runner('llm', 'prefill' if number % 2 else 'decode')
        front = await bench.add_front()
        await _send_all(front, WARM_UP)
        before_s = _processor_s(front.process.pid)
        answers = await _send_all(front, REQUESTS)
        used_s = _processor_s(front.process.pid) - before_s
        served = sum(answer.status == 200 for answer in answers)
        sys.stdout.write(f'{len(answers)} requests, {served} served: {MS_PER_S * used_s / len(answers):.2f} ms each\n')
        await _stop(bench, front)


async def _send_all(front: process_bench.BenchFront, requests: int) -> list[CallerAnswer]:
    answers: list[CallerAnswer] = []
    async with trio.open_nursery() as nursery:
        for number in range(CALLERS):
            nursery.start_soon(_send, front, number, requests, answers)
    return answers


async def _send(front: process_bench.BenchFront, number: int, requests: int, answers: list[CallerAnswer]) -> None:
    caller = process_bench.new_caller(front)
    await trio.sleep(PAUSE_S * number / CALLERS)
    for _ in range(requests):
        req = new_prompt_request('/tag/a', tokens=293, shared_prefix=(f's{number % 8}', 90), output=3, body=bytes(1500))
        answers.append(await caller.send(req))
        await trio.sleep(PAUSE_S)


async def _stop(bench: process_bench.ProcessBench, front: process_bench.BenchFront) -> None:
    front.process.send_signal(signal.SIGTERM)
    with trio.move_on_after(process_bench.START_TIMEOUT_S):
        await front.process.wait()


def _processor_s(pid: int) -> float:
    """Return the processor time of a process, by the 14th and 15th field of its status."""
    after_name = Path(f'/proc/{pid}/stat').read_text(encoding='ascii').rpartition(')')[2].split()
    return (int(after_name[11]) + int(after_name[12])) / os.sysconf('SC_CLK_TCK')


@contextmanager
def _profiled(profile: str) -> Iterator[None]:
    async def start(settings: Path) -> trio.Process:
        command = [sys.executable, '-m', 'cProfile', '-o', profile, '-m', 'sesamepoint.cli', 'front']
        log = process_bench.log_path_of(settings).open('ab')
        return await trio.lowlevel.open_process([*command, '--settings', str(settings)], stdout=log)

    if not profile:
        yield
        return
    with patch.object(process_bench, '_start_process', start):
        yield


if __name__ == '__main__':
    main()
