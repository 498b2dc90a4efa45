"""Running one scenario under one policy."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.answer.outcome import Answered, NotRun
from sesamepoint_core.fold.records import SwitchPreset
from sesamepoint_standins.deployment_bench import DeploymentBench
from sesamepoint_standins.engine_model import answer_seed, answer_text
from sesamepoint_standins.virtual_time import run_virtual
from sesamectl.experiment.arrivals import Arrival, arrivals
from sesamectl.experiment.faults import FAULTS

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    from sesamepoint_core.answer.outcome import Outcome
    from sesamepoint_core.config.model import Configuration
    from sesamepoint.control.decisions import Decision
    from sesamectl.experiment.scenario import Scenario

WARM_UP_S = 20.0


class Trial(NamedTuple):
    """What is run: a scenario on a deployment, under a policy and a seed."""

    configuration: Configuration
    scenario: Scenario
    policy: str
    seed: int


class Ended(NamedTuple):
    """How one request ended for its caller.

    ``first_byte_s`` is the time to the first token; ``gap_s`` the mean time
    between two tokens after it; both are None where there was none.
    """

    arrival: Arrival
    outcome: Outcome
    took_s: float
    first_s: float | None
    gap_s: float | None
    whole: bool


class Finished(NamedTuple):
    """All that a trial left behind."""

    ended: tuple[Ended, ...]
    role_changes: int
    duplicates: int
    cut_off: int
    decisions: tuple[Decision, ...]


def run_trial(trial: Trial) -> Finished:
    """Run a trial to its end, in virtual time."""
    return run_virtual(_Runner(trial).run, seed=trial.seed)


class _Runner:
    """Plays a scenario's arrivals, faults and switches against a bed."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._ended: list[Ended] = []
        self._next_entry = 0

    async def run(self) -> Finished:
        """Play everything and gather what it came to."""
        trial = self._trial
        async with self._open() as bed:
            await trio.sleep(WARM_UP_S)
            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for fault in trial.scenario['faults']:
                    switch = FAULTS.get(fault['kind'])
                    nursery.start_soon(_at, started + fault['at'], switch, bed, fault['target'], True)
                    nursery.start_soon(_at, started + fault['until'], switch, bed, fault['target'], False)
                for preset in trial.scenario['presets']:
                    nursery.start_soon(_switch, bed, started + preset['at'], preset['preset'])
                for arrival in arrivals(trial.scenario, trial.seed):
                    await trio.sleep_until(started + arrival.at)
                    nursery.start_soon(self._call, bed, arrival)
            return self._finished(bed)

    def _open(self) -> AbstractAsyncContextManager[DeploymentBench]:
        trial = self._trial
        fleets = frozenset(kind['fleet'] for kind in trial.scenario['classes'].values())
        return DeploymentBench.open(dict(trial.configuration), trial.seed, policy=trial.policy, fleets=fleets)

    async def _call(self, bed: DeploymentBench, arrival: Arrival) -> None:
        """Send a request; come back when told to, as often as the caller may."""
        ended = await self._call_once(bed, arrival)
        for _ in range(arrival.client_retries):
            if isinstance(ended.outcome, NotRun):
                await trio.sleep(ended.outcome.retry_after_s)
                ended = await self._call_once(bed, arrival)
        self._ended.append(ended)

    async def _call_once(self, bed: DeploymentBench, arrival: Arrival) -> Ended:
        seen = _Caller()
        started = trio.current_time()
        entry = self._entry(bed)
        outcome = await bed.entries[entry].entry.serve(arrival.req, seen.emit)
        expected = answer_text(answer_seed(arrival.req.job.body), 0, arrival.req.job.output_tokens)
        whole = not isinstance(outcome, Answered) or seen.text == expected
        took_s = trio.current_time() - started
        return Ended(arrival, outcome, took_s, seen.first_s(started), seen.gap_s(), whole)

    def _entry(self, bed: DeploymentBench) -> str:
        """Return the next entry, as a balancer would."""
        self._next_entry += 1
        names = sorted(bed.entries)
        return names[self._next_entry % len(names)]

    def _finished(self, bed: DeploymentBench) -> Finished:
        engines = bed.engines.values()
        torn = sum(not ended.whole for ended in self._ended)
        decisions = [decision for started in bed.entries.values() for decision in started.entry.decisions.newest()]
        return Finished(
            ended=tuple(self._ended),
            role_changes=sum(len(engine.orders) for engine in engines),
            duplicates=self._duplicates(bed),
            cut_off=torn + sum(engine.dropped_by_order for engine in engines),
            decisions=tuple(sorted(decisions, key=lambda found: found.at)),
        )

    def _duplicates(self, bed: DeploymentBench) -> int:
        """Count the requests that may run once only and ran more often."""
        runs: Counter[int] = Counter()
        for engine in bed.engines.values():
            runs.update(engine.run_counts_by_seed)
        once = {answer_seed(ended.arrival.req.job.body) for ended in self._ended if not ended.arrival.req.repeatable}
        return sum(runs[seed] > 1 for seed in once)


class _Caller:
    """A caller that notes when tokens come."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._times: list[float] = []

    @property
    def text(self) -> str:
        """All that came."""
        return b''.join(self._chunks).decode()

    async def emit(self, chunk: bytes) -> None:
        """Take a chunk."""
        self._chunks.append(chunk)
        self._times.append(trio.current_time())

    def first_s(self, started: float) -> float | None:
        """Seconds to the first token."""
        return self._times[0] - started if self._times else None

    def gap_s(self) -> float | None:
        """Mean seconds between two tokens after the first."""
        tokens = sum(chunk.count(b' ') for chunk in self._chunks[1:])
        return (self._times[-1] - self._times[0]) / tokens if tokens else None


async def _at(when: float, switch: Callable[..., None], bed: DeploymentBench, target: str, on: bool) -> None:  # noqa: FBT001
    await trio.sleep_until(when)
    switch(bed, target, on=on)


async def _switch(bed: DeploymentBench, when: float, preset: str) -> None:
    await trio.sleep_until(when)
    async with bed.operator_follower() as operator:
        await operator.submit(SwitchPreset(operator.state.version, 'scenario', preset))


__all__ = ('Ended', 'Finished', 'Trial', 'run_trial')
