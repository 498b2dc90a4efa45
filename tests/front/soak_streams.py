"""Streams of a soak that their callers take up, while versions of their runners come and go."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_core.serving.address import Address
from sesamepoint_standins.platform.process_bench import FAST_ENGINE, ProcessBench, new_caller
from sesamepoint_standins.platform.runner import RunnerStandIn
from sesamepoint_standins.platform.runner_state import Faults
from sesamepoint_standins.platform.stream_caller import TakenStream, stream_over_attempts
from tests.front.builders import configuration, new_prompt_request, route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from sesamepoint.http1.messages import Headers

    Step = Callable[[], Awaitable[None]]

SERVICE = 'story'
STREAMS_PER_S = 8.0
ATTEMPTS = 3
EVENTS = 6
MEAN_STEP_PAUSE_S = 0.6
HEARTBEAT_S = 1.0
MAX_RUNNERS = 6
BORN_MS = 1_700_000_000_000
# How long the store does not show that a runner has restarted, in seconds, and the limits that runners name.
MAX_UNSEEN_S = 4.0
LIMITS = ((), (b'20',), (b'5',))
# Share of the runners that begin to break their streams at a step.
BREAKING_SHARE = 0.5


def story_route() -> dict[str, Any]:
    """Return the resumable route of the streams."""
    return route('story', '/story/', SERVICE, 'streaming', resumable=True, gap_aim_ms=500, max_attempts=2)


def story_service() -> dict[str, Any]:
    """Return the service that the route names."""
    return {**configuration()['services'][0], 'name': SERVICE}


class SoakStreams:
    """Runners of several versions, without faulty proxies, and callers that take their streams up at any instance."""

    def __init__(self, bench: ProcessBench, rng: Random, headers: Headers) -> None:
        """Draw all random choices from ``rng``; requests carry ``headers``."""
        self.runners: list[RunnerStandIn] = []
        self.streams: list[TakenStream] = []
        self._bench = bench
        self._rng = rng
        self._headers = headers
        self._registered: list[RunnerStandIn] = []
        self._version = 1
        self._steps: tuple[Step, ...] = (
            self._break_streams,
            self._break_streams,
            self._mend,
            self._new_version,
            self._new_version,
            self._leave,
            self._crash,
            self._restart_unseen,
            self._restart_unseen,
            self._change_limits,
        )

    async def start_runners(self) -> None:
        """Start two runners of the first version."""
        for _ in range(2):
            await self._add_runner()

    async def run(self, duration_s: float) -> None:
        """Send streams, break them, and change the versions, for ``duration_s`` seconds."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_load, nursery, duration_s)
            with trio.move_on_after(duration_s):
                nursery.start_soon(self._renew_registrations, trio.current_time() + duration_s)
                while True:
                    await trio.sleep(self._rng.expovariate(1 / MEAN_STEP_PAUSE_S))
                    await self._rng.choice(self._steps)()

    def violations(self) -> list[str]:
        """Return a message for each stream that holds events of two versions, or a part that is framed as complete."""
        mixed = [f'order: {sorted(one.versions)} in {one.first_attempt}' for one in self.streams if one.mixed]
        short = [one for one in self.streams if one.ended and len(one.events) < EVENTS]
        return mixed + [f'short: {len(one.events)} events in {one.first_attempt}' for one in short]

    async def _send_load(self, nursery: trio.Nursery, duration_s: float) -> None:
        with trio.move_on_after(duration_s):
            while True:
                await trio.sleep(self._rng.expovariate(STREAMS_PER_S))
                nursery.start_soon(self._run_stream, self._rng.choices(self._bench.fronts, k=ATTEMPTS))

    async def _run_stream(self, fronts: list[Any]) -> None:
        spec = new_prompt_request('/story/a', output=EVENTS, extra=self._headers)
        self.streams.append(await stream_over_attempts(spec, [new_caller(front) for front in fronts]))

    async def _add_runner(self) -> None:
        key = f'i-story{len(self.runners)}'
        runner = RunnerStandIn(key, SERVICE, Address('', 0), 'z1', stage='decode', speed=FAST_ENGINE)
        runner.version = f'v{self._version}'
        runner.marks_events = True
        # Some runners don't register their start, and never restart under their key.
        runner.born_ms = BORN_MS if len(self.runners) % 3 else 0
        runner.address = await ProcessBench.serve(self._bench, runner.serve)
        self.runners.append(runner)
        self._registered.append(runner)
        self._register(runner)

    async def _break_streams(self) -> None:
        for runner in self.runners:
            if self._rng.random() < BREAKING_SHARE:
                runner.faults = Faults(breaks_at_event=self._rng.randint(2, EVENTS))
                runner.habits.breaks_off = BREAKING_SHARE
        await trio.sleep(0)

    async def _mend(self) -> None:
        for runner in self.runners:
            runner.faults = Faults()
            runner.habits.breaks_off = 0
        await trio.sleep(0)

    async def _new_version(self) -> None:
        """Start a runner of another version beside the others, which is newer or was there before."""
        self._version = self._rng.randint(1, 3)
        if len(self._registered) < MAX_RUNNERS:
            await self._add_runner()

    async def _leave(self) -> None:
        """Have a runner announce that it leaves; it serves on."""
        staying = [runner for runner in self._registered if not runner.draining]
        if len(staying) > 2:
            leaving = self._rng.choice(staying)
            leaving.draining = True
            self._register(leaving)
            self._registered.remove(leaving)
        await trio.sleep(0)

    async def _crash(self) -> None:
        """Crash a runner, and start another one of its version."""
        if not self._registered:
            return
        crashed = self._rng.choice(self._registered)
        self._registered.remove(crashed)
        self._bench.crash_runner(crashed)
        self._bench.nursery.start_soon(self._expire, crashed)
        self._version = int(crashed.version.removeprefix('v'))
        await self._add_runner()

    async def _restart_unseen(self) -> None:
        """Have a runner start again at another version, and the store show that only some time later."""
        restartable = [runner for runner in self._registered if runner.born_ms and not runner.draining]
        if not restartable:
            return
        runner = self._rng.choice(restartable)
        self._registered.remove(runner)
        await self._bench.restart_runner(runner, runner.born_ms + 1, f'v{self._rng.randint(1, 3)}')
        self._bench.nursery.start_soon(self._register_later, runner, self._rng.uniform(0, MAX_UNSEEN_S))

    async def _register_later(self, runner: RunnerStandIn, after_s: float) -> None:
        await trio.sleep(after_s)
        self._registered.append(runner)
        self._register(runner)

    async def _change_limits(self) -> None:
        for runner in self.runners:
            runner.limit_headers = self._rng.choice(LIMITS)
        await trio.sleep(0)

    async def _expire(self, crashed: RunnerStandIn) -> None:
        """Remove the registration of a runner that has not renewed it for some time."""
        await trio.sleep(HEARTBEAT_S)
        self._bench.store.put(RUNNER_TOPIC, crashed.key, None)

    async def _renew_registrations(self, until: float) -> None:
        with trio.move_on_at(until):
            while True:
                for runner in self._registered:
                    self._register(runner)
                await trio.sleep(HEARTBEAT_S)

    def _register(self, runner: RunnerStandIn) -> None:
        self._bench.store.put(RUNNER_TOPIC, runner.key, runner.registration)


__all__ = ('SoakStreams', 'story_route', 'story_service')
