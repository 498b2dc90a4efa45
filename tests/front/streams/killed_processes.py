"""The same as killed_instances, with real processes.

Run by hand, over all moments: python -m tests.front.streams.killed_processes
"""

from __future__ import annotations

import sys
import tempfile
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_standins.platform.process_bench import ProcessBench, new_caller
from sesamepoint_standins.platform.stream_caller import stream_over_attempts
from tests.front.builders import new_prompt_request
from tests.front.streams.builders import stream_configuration, versioned_engines
from tests.front.streams.killed_instances import (
    ATTEMPTS,
    DEADLINE_S,
    EVENTS,
    FRONTS,
    PAUSES_S,
    SLOW_ENGINE,
    STREAM_PAUSE_S,
    STREAMS,
    Kill,
    Moment,
    Outcome,
    all_kills,
    outcome_of,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_standins.platform.runner import RunnerStandIn
    from sesamepoint_standins.platform.stream_caller import TakenStream

LOAD_S = STREAMS * STREAM_PAUSE_S
OLD_VERSION = 'v1'
NEW_VERSION = 'v2'


class ProcessRun:
    """One run: streams at three processes, a release, and kills at a moment of it."""

    def __init__(self, bench: ProcessBench, kill: Kill) -> None:
        """Play ``kill`` on ``bench``."""
        self._bench = bench
        self._kill = kill
        self._streams: list[TakenStream] = []

    async def play(self, old: Sequence[RunnerStandIn]) -> Outcome:
        """Play the run, in which the engines ``old`` serve at first, and return what callers saw."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._release, old)
            for number in range(STREAMS):
                nursery.start_soon(self._run_stream, number)
                await trio.sleep(STREAM_PAUSE_S)
            for _ in range(1 + self._kill.twice):
                await self._kill_fronts()
        return outcome_of(self._streams)

    async def start_engines(self, first: int, version: str) -> list[RunnerStandIn]:
        """Start and register two engines of a version, numbered from ``first``."""
        engines = [replace(one, speed=SLOW_ENGINE) for one in versioned_engines(first, 2, version)]
        for engine in engines:
            engine.address = await self._bench.serve(engine.serve)
            self._bench.store.put(RUNNER_TOPIC, engine.key, engine.registration)
        return engines

    async def _run_stream(self, number: int) -> None:
        spec = new_prompt_request('/tag/a', output=EVENTS, deadline_s=DEADLINE_S)
        fronts = [self._bench.fronts[(number + attempt) % FRONTS] for attempt in range(ATTEMPTS)]
        callers = [new_caller(front) for front in fronts]
        self._streams.append(await stream_over_attempts(spec, callers, PAUSES_S[number % len(PAUSES_S)]))

    async def _release(self, old: Sequence[RunnerStandIn]) -> None:
        """Start runners of the new version, and take those of the old one away, as far as the moment wants it."""
        moment = self._kill.moment
        await trio.sleep(LOAD_S if moment is Moment.before_release else LOAD_S / 2)
        await self.start_engines(11, NEW_VERSION)
        if moment is Moment.amid_release:
            return
        for engine in old:
            engine.draining = True
            self._bench.store.put(RUNNER_TOPIC, engine.key, engine.registration)
        if moment is Moment.after_old_drain:
            return
        await trio.sleep(LOAD_S / 2)
        for engine in old:
            self._bench.store.put(RUNNER_TOPIC, engine.key, None)
            self._bench.crash_runner(engine)

    async def _kill_fronts(self) -> None:
        for front in self._bench.fronts[: self._kill.killed]:
            front.process.kill()
            await trio.sleep(self._kill.gap_s)
        for index in range(self._kill.killed):
            await self._bench.fronts[index].process.wait()
            await self._bench.restart_front(index)
        for front in self._bench.fronts:
            await self._bench.wait_until_ready(front)


async def play(kill: Kill) -> Outcome:
    """Play one run with processes of its own, and return what callers saw."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            bench = ProcessBench(nursery, Path(folder))
            try:
                return await _play_on(bench, kill)
            finally:
                bench.kill_fronts()
                nursery.cancel_scope.cancel()


async def _play_on(bench: ProcessBench, kill: Kill) -> Outcome:
    await bench.start(stream_configuration())
    # The runners of the bench don't mark their events, and would stay.
    for runner in bench.runners:
        bench.store.put(RUNNER_TOPIC, runner.key, None)
    run = ProcessRun(bench, kill)
    old = await run.start_engines(1, OLD_VERSION)
    for _ in range(FRONTS):
        await bench.add_front()
    return await run.play(old)


def main() -> None:
    """Play all runs and print what callers saw."""
    for kill in all_kills():
        sys.stdout.write(f'{kill}: {trio.run(partial(play, kill))}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
