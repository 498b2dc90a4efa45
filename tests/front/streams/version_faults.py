"""Streams over several attempts while versions of their runners come and go, and instances fail at random.

Run by hand: python -m tests.front.streams.version_faults FIRST-SEED LAST-SEED
Each seed is run twice, the second time with runners that name rate limits, reject requests and hide their start.
"""

from __future__ import annotations

import sys
from itertools import product
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from sesamepoint_standins.platform.runner import RunnerStandIn
from sesamepoint_standins.platform.runner_state import Faults
from sesamepoint_standins.platform.stream_caller import TakenStream, stream_over_attempts
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.builders import new_prompt_request
from tests.front.streams.builders import stream_configuration, versioned_engines

if TYPE_CHECKING:
    from collections.abc import Callable

DURATION_S = 10.0
STREAMS_PER_S = 40.0
MEAN_FAULT_PAUSE_S = 0.4
FRONTS = 5
ATTEMPTS = 3
EVENTS = 8
MAX_RUNNERS = 10
# Share of the runners that begin to break their streams at a step.
BREAKING_SHARE = 0.4
# Users let so many streams of a day hold two versions; the system is to have none.
ALLOWED_MIXED = 0
# Users ask for half of the share of new streams that begin, for take-ups of streams whose
# version has two runners; here it is asked for all take-ups, so that a third is enough.
MIN_SHARE_GONE_ON = 1 / 3
MIN_TAKE_UPS = 12
# Instances are in touch again so many seconds after a failure of the store or the network.
STABLE_S = 3.0
BORN_MS = 1_700_000_000_000
# Share of the runners that name a rate limit, or stop to, at a step, and limits in requests a second: some above
# the load of a runner, some below.
LIMITED_SHARE = 0.5
LIMITS = ((), (b'30',), (b'12',), (b'4',))


class Observed(NamedTuple):
    """A stream; ``disturbed`` if the store or the network failed from shortly before it until its end."""

    stream: TakenStream
    disturbed: bool


class VersionFaults:
    """A deployment whose runners change their versions, and whose instances and network fail."""

    def __init__(self, bench: PlatformBench, rng: Random) -> None:
        """Draw all random choices from ``rng``."""
        self.bench = bench
        self.observed: list[Observed] = []
        self._rng = rng
        self._serial = 10
        self._born_ms = BORN_MS
        self._versions = ['v1']
        self._failing = False
        self._disturbed_until: float = 0
        self._steps: tuple[Callable[[], None], ...] = (
            self._begin_version,
            self._add_runner,
            self._drain_runner,
            self._crash_runner,
            self._crash_runner,
            self._restart_at_other_version,
            self._break_streams,
            self._kill_front,
            self._add_front,
            self._cut_front,
            self._lose_datagrams,
            self._store_down,
            self._heal,
            self._heal,
        )

    def add_runner_status(self) -> None:
        """Draw rate limits, rejections and reports that are missing or have no start too."""
        for runner in self.bench.runners.values():
            runner.limit_headers = self._rng.choice(LIMITS)
        restarts = (self._restart_unseen, self._restart_unseen, self._restart_unseen)
        self._steps = (*self._steps, *restarts, self._change_limits, self._reject, self._hide_starts)

    async def run(self) -> None:
        """Send streams and cause faults until the duration is over."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_load, nursery)
            with trio.move_on_after(DURATION_S):
                while True:
                    await trio.sleep(self._rng.expovariate(1 / MEAN_FAULT_PAUSE_S))
                    self._rng.choice(self._steps)()

    async def _send_load(self, nursery: trio.Nursery) -> None:
        ends_at = trio.current_time() + DURATION_S
        while trio.current_time() < ends_at:
            await trio.sleep(self._rng.expovariate(STREAMS_PER_S))
            nursery.start_soon(self._run_stream)

    async def _run_stream(self) -> None:
        disturbed = self._is_disturbed()
        fronts = self._rng.choices(list(self.bench.fronts), k=ATTEMPTS)
        callers = [self.bench.new_caller(front) for front in fronts]
        pause_s = self._rng.choice((0.01, 0.1, 0.5))
        spec = new_prompt_request('/tag/a', output=EVENTS)
        stream = await stream_over_attempts(spec, callers, pause_s)
        self.observed.append(Observed(stream, disturbed or self._is_disturbed()))

    def _is_disturbed(self) -> bool:
        return self._failing or trio.current_time() < self._disturbed_until

    def _begin_version(self) -> None:
        """Start a runner of a version that is new, or was there before, beside the others."""
        self._versions.append(self._rng.choice(('v1', 'V1', 'v2', 'v2 ', '', 'v' * 300)))
        self._add_runner()

    def _add_runner(self) -> None:
        if len(self.bench.runners) < MAX_RUNNERS:
            self._serial += 1
            self.bench.add_runner(versioned_engines(self._serial, 1, self._versions[-1], born_ms=BORN_MS)[0])

    def _any_runner(self) -> RunnerStandIn:
        return self._rng.choice(list(self.bench.runners.values()))

    def _drain_runner(self) -> None:
        serving = [runner for runner in self.bench.runners.values() if not runner.draining]
        if len(serving) > 2:
            self.bench.drain_runner(self._rng.choice(serving).key)

    def _crash_runner(self) -> None:
        """End a runner; another one of the same, or the newest, version starts at its address at once."""
        old = self._any_runner()
        self._end_runner(old)
        self.bench.runners.pop(old.key)
        self.bench.store.put(RUNNER_TOPIC, old.key, None)
        self._serial += 1
        version = self._rng.choice((old.version, self._versions[-1]))
        new = versioned_engines(self._serial, 1, version, born_ms=BORN_MS, address=old.address)[0]
        self.bench.add_runner(new)

    def _restart_at_other_version(self) -> None:
        """End a runner that starts again under its key, at another version."""
        runner = self._any_runner()
        self._end_runner(runner)
        self._born_ms += 1
        runner.restart(self._born_ms, self._rng.choice(self._versions))
        self.bench.add_runner(runner)

    def _restart_unseen(self) -> None:
        """Have a runner start again at another version while the store is down, and the streams of others break."""
        self._store_down()
        self._restart_at_other_version()
        self._break_streams()

    def _end_runner(self, runner: RunnerStandIn) -> None:
        self.bench.network.close(runner.address)
        self.bench.network.reset_all(runner.address.host)

    def _break_streams(self) -> None:
        for runner in self.bench.runners.values():
            if self._rng.random() < BREAKING_SHARE:
                runner.faults = Faults(breaks_at_event=self._rng.randint(2, EVENTS))

    def _change_limits(self) -> None:
        for runner in self.bench.runners.values():
            if self._rng.random() < LIMITED_SHARE:
                runner.limit_headers = self._rng.choice(LIMITS)

    def _reject(self) -> None:
        self._any_runner().faults.rejects = True

    def _hide_starts(self) -> None:
        """Have runners answer the call for their report late, or without their start."""
        for runner in self.bench.runners.values():
            runner.faults.hides_report = self._rng.random() < BREAKING_SHARE
            runner.faults.hides_start = self._rng.random() < BREAKING_SHARE

    def _kill_front(self) -> None:
        if len(self.bench.fronts) > 2:
            name = self._rng.choice(list(self.bench.fronts))
            front = self.bench.fronts[name]
            self.bench.network.reset_all(front.cfg.host)
            self.bench.kill_front(name)
            self.bench.fronts.pop(name)

    def _add_front(self) -> None:
        if len(self.bench.fronts) < FRONTS:
            self._serial += 1
            self.bench.add_front(self._serial)

    def _cut_front(self) -> None:
        """Cut an instance off from all others, the store and some runners."""
        self._failing = True
        host = self._rng.choice(list(self.bench.fronts.values())).cfg.host
        others = [front.cfg.host for front in self.bench.fronts.values() if front.cfg.host != host]
        runners = self._rng.sample([runner.address.host for runner in self.bench.runners.values()], 2)
        self.bench.network.cut_pairs.update(frozenset((host, other)) for other in (*others, *runners, '10.9.0.1'))

    def _lose_datagrams(self) -> None:
        self._failing = True
        self.bench.network.datagram_loss = 0.3

    def _store_down(self) -> None:
        self._failing = True
        self.bench.store.unavailable = True

    def _heal(self) -> None:
        if self._failing:
            self._failing = False
            self._disturbed_until = trio.current_time() + STABLE_S
        self.bench.network.cut_pairs.clear()
        self.bench.network.datagram_loss = 0
        self.bench.store.unavailable = False
        for runner in self.bench.runners.values():
            runner.faults = Faults()


def find_violations(faults: VersionFaults) -> list[str]:
    """Return a message for each rule that callers saw broken."""
    streams = [one.stream for one in faults.observed]
    mixed = [f'order: {sorted(stream.versions)} in {stream.first_attempt}' for stream in streams if stream.mixed]
    in_touch = [one.stream for one in faults.observed if not one.disturbed]
    taken_up = [stream for stream in in_touch if stream.taken_up and stream.events]
    gone_on = sum(stream.whole for stream in taken_up)
    begun = sum(bool(stream.events) for stream in in_touch) / max(len(in_touch), 1)
    messages = mixed if len(mixed) > ALLOWED_MIXED else []
    if len(taken_up) >= MIN_TAKE_UPS and gone_on < MIN_SHARE_GONE_ON * begun * len(taken_up):
        messages.append(f'lost: {gone_on} of {len(taken_up)} take-ups went on, {begun:.2f} of all streams began')
    return messages


async def run_seed(seed: int, with_status: bool = False) -> list[str]:
    """Run one seed and return the violations."""
    return find_violations(await observe_seed(seed, with_status))


async def observe_seed(seed: int, with_status: bool = False) -> VersionFaults:
    """Run one seed, on request with rate limits, rejections and hidden starts, and return what callers saw."""
    # With one runner for each attempt, all that breaks is taken up by its caller.
    attempts = 1 + seed % 2
    async with open_bench(
        stream_configuration(attempts), versioned_engines(1, 4, 'v1', born_ms=BORN_MS), fronts=FRONTS
    ) as bench:
        faults = VersionFaults(bench, Random(seed))
        if with_status:
            faults.add_runner_status()
        await faults.run()
        return faults


def main() -> None:
    """Run a range of seeds and print their violations, take-ups and those that went on."""
    disable_logging()
    seeds = range(int(sys.argv[1]), int(sys.argv[2]) + 1)
    for seed, with_status in product(seeds, (False, True)):
        faults = run_virtual(observe_seed, seed, with_status, seed=seed)
        taken_up = [one.stream for one in faults.observed if one.stream.taken_up and one.stream.events]
        gone_on = sum(stream.whole for stream in taken_up)
        sys.stdout.write(
            f'seed {seed}{" with status" if with_status else ""}: {find_violations(faults) or "no violations"}; '
            f'{gone_on} of {len(taken_up)} take-ups went on, {len(faults.observed)} streams\n'
        )
        sys.stdout.flush()


if __name__ == '__main__':
    main()
