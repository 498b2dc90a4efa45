"""Runners of a soak that leave while the store carries one of their heartbeats out late."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_core.serving.address import Address
from sesamepoint_standins.platform.process_bench import FAST_ENGINE, ProcessBench
from sesamepoint_standins.platform.runner import RunnerStandIn
from tests.front.soak_runner_status import DRAINING_COUNTED_FROM_S, HEARTBEAT_S

if TYPE_CHECKING:
    from random import Random

    from tests.front.soak_runner_status import SoakRunnerStatus

# The store carries out a late write so many seconds after it was sent.
LATE_S = (1.0, 6.0)
# The store removes a registration that nobody renews after this time, in seconds.
LAPSE_S = 3 * HEARTBEAT_S
LAPSE_STEP_S = 0.1


class SoakRegistrations:
    """A plain runner and an engine that leave, one by its registration and one by the removal of it."""

    def __init__(self, bench: ProcessBench, rng: Random, status: SoakRunnerStatus) -> None:
        """Draw all times from ``rng``; ``status`` knows which instance got a request, and when it was disturbed."""
        self.runners: list[RunnerStandIn] = []
        self._bench = bench
        self._rng = rng
        self._status = status
        self._left_at: dict[str, float] = {}

    async def start_runners(self) -> None:
        """Start both runners."""
        for service, stage in (('web', None), ('llm', 'decode')):
            key = f'i-late-{service}'
            runner = RunnerStandIn(key, service, Address('', 0), 'z1', stage=stage, speed=FAST_ENGINE, work_s=0.005)
            runner.address = await ProcessBench.serve(self._bench, runner.serve)
            self.runners.append(runner)

    async def run(self, duration_s: float) -> None:
        """Have both runners renew their registrations, and leave, within ``duration_s`` seconds."""
        announces = self._rng.choice(self.runners)
        with trio.move_on_after(duration_s):
            async with trio.open_nursery() as nursery:
                for runner in self.runners:
                    nursery.start_soon(self._renew, runner)
                    nursery.start_soon(self._leave, runner, duration_s, runner is announces)

    def violations(self) -> list[str]:
        """Return a message for each runner that got requests after it had left, from undisturbed instances."""
        counts = {runner.key: self._late_requests(runner) for runner in self.runners}
        return [f'drain: {key} got {count} requests after it had left' for key, count in counts.items() if count]

    def _late_requests(self, runner: RunnerStandIn) -> int:
        left_at = self._left_at.get(runner.key)
        if left_at is None:
            return 0
        pairs = zip(runner.arrivals, runner.request_ids, strict=True)
        late = [(at, name) for at, name in pairs if at > left_at + DRAINING_COUNTED_FROM_S and name]
        return sum(not self._status.is_excused(self._status.front_of_request[name], left_at, at) for at, name in late)

    async def _renew(self, runner: RunnerStandIn) -> None:
        while not runner.leaving:
            self._write(runner, runner.registration)
            await trio.sleep(HEARTBEAT_S)

    async def _leave(self, runner: RunnerStandIn, duration_s: float, announces: bool) -> None:
        await trio.sleep(self._rng.uniform(0.1, 0.4) * duration_s)
        late_s = self._rng.uniform(*LATE_S)
        lost = runner.registration
        lead_s = self._rng.uniform(0, late_s)
        await trio.sleep(lead_s)
        self._left_at[runner.key] = trio.current_time()
        runner.draining = announces
        runner.leaving = not announces
        self._write(runner, runner.registration if announces else None)
        if runner.leaving:
            # The store removes it also after the faults of the soak have ended.
            self._bench.nursery.start_soon(self._remove_lapsed, runner)
        await trio.sleep(late_s - lead_s)
        self._write(runner, lost)

    async def _remove_lapsed(self, runner: RunnerStandIn) -> None:
        """Remove the registration of a runner that has left once it has stood for the lapse time, until cancelled.

        It is back after a late heartbeat, and after the store was rolled back.
        """
        stood_s: float = 0
        while True:
            await trio.sleep(LAPSE_STEP_S)
            registered = runner.key in self._bench.store.newest_payloads(RUNNER_TOPIC)
            stood_s = stood_s + LAPSE_STEP_S if registered else 0
            if stood_s >= LAPSE_S:
                self._write(runner, None)

    def _write(self, runner: RunnerStandIn, registration: dict[str, object] | None) -> None:
        self._bench.store.put(RUNNER_TOPIC, runner.key, registration)


__all__ = ('SoakRegistrations',)
