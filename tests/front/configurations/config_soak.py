"""Soak of changing configurations and leaving runners: real instances, rows of faults, by seed.

Run by hand: python -m tests.front.configurations.config_soak FIRST-SEED LAST-SEED
[SECONDS [FRONTS [ROWS [DEPLOYMENT [PROGRAM]]]]]
A new version comes every few seconds, now and then an invalid one; requests go to what it changed.
"""

from __future__ import annotations

import sys
import tempfile
from collections import defaultdict
from itertools import chain
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.platform.wire_names import ACCOUNT, OPERATOR_KEY, OPERATOR_TOPIC, RUNNER_TOPIC
from sesamepoint_standins.platform.machine_settings import store_line
from sesamepoint_standins.platform.process_bench import ProcessBench, new_caller
from tests.front.builders import bearer_header, new_request
from tests.front.configurations.deployments import DEPLOYMENTS, Deployment
from tests.front.configurations.oracle import UNSERVED, Bounds, ConfigurationOracle, Life, Met
from tests.front.configurations.rows import RENEWED_S, ROWS, Disturbances, Play
from tests.front.configurations.versions import (
    KEYS,
    NO_KEY,
    NO_ROUTE,
    SERVICES,
    SLOTS,
    Ran,
    Versions,
    key_of,
    path_of,
)

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import RequestSpec
    from sesamepoint_standins.platform.runner import RunnerStandIn

FRONTS = 3
DURATION_S = 16.0
REQUESTS_PER_S = 80.0
# Rows that one seed plays at the same time.
ROWS_PER_SEED = 3
# Pauses between two versions and between two leaving runners, in seconds.
VERSION_PAUSE_S = (0.5, 2.5)
LEAVING_PAUSE_S = (1.0, 3.0)
RUNNERS_OF_SERVICE = 2
# What a process that waits for a processor may be slower than the bounds of the settings, in seconds.
SCHEDULING_DELAY_S = 1.0
BACK_S = 0.25 + SCHEDULING_DELAY_S
# Share of the requests that go to a slot, or carry a key, that the newest version changed.
CHANGED_SHARE = 0.5
STATUS_SEEN = MappingProxyType({404: NO_ROUTE, 401: NO_KEY})


class Leaving(NamedTuple):
    """A runner whose leaving the store has acknowledged."""

    runner: RunnerStandIn
    since: float


class Sent(NamedTuple):
    """A request on its way."""

    req: RequestSpec
    life: Life
    slot: int
    key: int
    at: float


class ConfigSoak:
    """Load, configurations and leaving runners of one seed."""

    def __init__(self, bench: ProcessBench, rng: Random, fronts: int, deployment: Deployment) -> None:
        """Draw all from ``rng``."""
        self.disturbances = Disturbances(bench)
        self._bench = bench
        self._rng = rng
        self._fronts = fronts
        self._deployment = deployment
        self._versions = Versions(
            Random(rng.random()), further_routes=deployment.routes, further_accounts=deployment.accounts
        )
        self._serving: dict[str, list[RunnerStandIn]] = defaultdict(list)
        self._left: list[Leaving] = []
        self.disturbances.renew = self._renew_registrations
        self._sent: dict[str, Sent] = {}
        self._answers: list[tuple[str, int, float]] = []

    async def play(self, duration_s: float, rows: tuple[str, ...]) -> None:
        """Start the store, the runners and the instances, and play for a time with the faults of ``rows``."""
        await self._start()
        async with trio.open_nursery() as requests:
            with trio.move_on_after(duration_s):
                async with trio.open_nursery() as tasks:
                    tasks.start_soon(self._publish)
                    tasks.start_soon(self._replace_runners)
                    tasks.start_soon(self._send_load, requests)
                    tasks.start_soon(self._play_rows, rows)

    def violations(self) -> list[str]:
        """Return a message for each fault that callers or runners saw."""
        bounds = Bounds(self._deployment.apply_s + SCHEDULING_DELAY_S, BACK_S)
        oracle = ConfigurationOracle(self._versions.written, bounds, self.disturbances)
        runs = {
            run.request_id: Ran(runner.service, _account_of(run.message.head.headers))
            for runner in self._bench.runners
            for run in runner.runs
        }
        met = [
            self._met(self._sent[name], runs.get(name, STATUS_SEEN.get(status, UNSERVED)), ended_at)
            for name, status, ended_at in self._answers
        ]
        return oracle.violations(met) + [text for left in self._left for text in self._late_requests(left)]

    async def _start(self) -> None:
        await self._bench.start(self._versions.document())
        self._versions.note_written(trio.current_time())
        for service in SERVICES:
            for _ in range(RUNNERS_OF_SERVICE):
                self._serving[service].append(await self._bench.add_runner(service))
        async with trio.open_nursery() as starts:
            for front in range(self._fronts):
                # Each instance reaches the store by an address of its own, as behind proxies.
                path = await self._bench.serve(self._bench.store.serve_path(front))
                self._bench.more_settings = f'{self._deployment.settings_of(front)}{store_line(path)}'
                starts.start_soon(self._bench.wait_until_ready, await self._bench.start_front())

    def _met(self, sent: Sent, seen: object, ended_at: float) -> Met:
        return Met(sent.life, sent.slot, sent.key, sent.at, ended_at, seen)

    def _late_requests(self, left: Leaving) -> list[str]:
        due_at = self.disturbances.leaving_due_at(left.since, self._deployment.drain_s + SCHEDULING_DELAY_S)
        pairs = zip(left.runner.arrivals, left.runner.request_ids, strict=True)
        late = [(at, self._sent[name].life.front) for at, name in pairs if at > due_at and name in self._sent]
        return [
            f'drain: {left.runner.key} got a request {at - left.since:.2f} s after it left, from instance {front}'
            for at, front in late
            if not self.disturbances.excuses_instance(front, due_at, at)
        ]

    async def _send_load(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self._rng.expovariate(REQUESTS_PER_S))
            nursery.start_soon(self._ask)

    async def _play_rows(self, rows: tuple[str, ...]) -> None:
        async with trio.open_nursery() as nursery:
            for row in rows:
                nursery.start_soon(ROWS[row], Play(self.disturbances, self._bench, Random(self._rng.random())))

    async def _publish(self) -> None:
        while True:
            await self._pause(VERSION_PAUSE_S)
            if self._rng.random() < self.disturbances.invalid_share:
                self._write(self._versions.invalid_document())
                continue
            self._versions.change()
            self._write(self._versions.document())
            self._versions.note_written(trio.current_time())

    async def _pause(self, span_s: tuple[float, float]) -> None:
        """Pause, and wait until the store serves; its return ends the pause, at times only soon after."""
        store = self.disturbances.store
        with trio.move_on_after(self._rng.uniform(*span_s)):
            await store.wait_until_returned()
            await trio.sleep(self._rng.choice((0, self._rng.uniform(0, RENEWED_S))))
        while store.away:
            await store.wait_until_returned()
            await trio.sleep(self._rng.choice((0, self._rng.uniform(0, RENEWED_S))))

    def _renew_registrations(self) -> None:
        """Write what the copy of a restored store may lack."""
        store = self.disturbances.store
        for runner in chain.from_iterable(self._serving.values()):
            store.put(RUNNER_TOPIC, runner.key, runner.registration)
        for left in self._left:
            store.put(RUNNER_TOPIC, left.runner.key, left.runner.registration if left.runner.draining else None)

    def _write(self, document: object) -> None:
        self.disturbances.store.put(OPERATOR_TOPIC, OPERATOR_KEY, document)

    async def _replace_runners(self) -> None:
        while True:
            await self._pause(LEAVING_PAUSE_S)
            service = self._rng.choice(SERVICES)
            self._serving[service].append(await self._bench.add_runner(service))
            if self.disturbances.store.away:
                continue
            runner = self._serving[service].pop(0)
            # Some announce that they leave, others are only removed.
            runner.draining = self._rng.random() < 1 / 2
            runner.leaving = not runner.draining
            self.disturbances.store.put(RUNNER_TOPIC, runner.key, runner.registration if runner.draining else None)
            self._left.append(Leaving(runner, trio.current_time()))

    async def _ask(self) -> None:
        slot = self._pick(self._versions.changed_slots, SLOTS)
        key = self._pick(self._versions.changed_keys, KEYS)
        front = self._rng.randrange(self._fronts)
        req = new_request(path_of(slot), deadline_s=2.0, extra=(bearer_header(key_of(key)),))
        life = Life(front, self.disturbances.starts[front])
        self._sent[req.request_id] = Sent(req, life, slot, key, trio.current_time())
        answer = await new_caller(self._bench.fronts[front]).send(req)
        self._answers.append((req.request_id, answer.status, trio.current_time()))

    def _pick(self, changed: list[int], count: int) -> int:
        if changed and self._rng.random() < CHANGED_SHARE:
            return self._rng.choice(changed)
        return self._rng.randrange(count)


def _account_of(headers: tuple[tuple[bytes, bytes], ...]) -> str:
    return next((text.decode() for name, text in headers if name.lower() == ACCOUNT), '')


async def play(
    seed: int,
    duration_s: float = DURATION_S,
    rows: tuple[str, ...] = (),
    program: str = '',
    fronts: int = FRONTS,
    deployment: str = 'small',
) -> list[str]:
    """Play one seed and return the violations; without ``rows`` it draws them, and ``program`` replaces the module."""
    rng = Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            bench = ProcessBench(nursery, Path(folder))
            bench.program = program or bench.program
            soak = ConfigSoak(bench, rng, fronts, DEPLOYMENTS[deployment])
            try:
                await soak.play(duration_s, rows or tuple(rng.sample(sorted(ROWS), ROWS_PER_SEED)))
            finally:
                bench.kill_fronts()
                nursery.cancel_scope.cancel()
    return soak.violations()


def main() -> None:
    """Play a range of seeds and print their violations."""
    words = dict(enumerate(sys.argv))
    rows = tuple(words.get(5, '').split(',')) if words.get(5) else ()
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        size = (int(words.get(4, FRONTS)), words.get(6, 'small'))
        found = trio.run(play, seed, float(words.get(3, DURATION_S)), rows, words.get(7, ''), *size)
        kinds = {text.partition(':')[0] for text in found}
        counts = {kind: sum(text.startswith(kind) for text in found) for kind in sorted(kinds)}
        sys.stdout.write(f'seed {seed}: {counts or "no violations"} {found[:3] or ""}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
