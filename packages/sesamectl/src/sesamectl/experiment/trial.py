"""Trials of one scenario under one policy, in virtual time."""

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
    """A scenario on a deployment, under a policy and a seed."""

    configuration: Configuration
    scenario: Scenario
    policy: str
    seed: int


class RequestEnd(NamedTuple):
    """Outcome of one request for its caller.

    The time to the first token, and the mean time between two tokens after it,
    are in seconds; both are None if there was no such token.
    """

    arrival: Arrival
    outcome: Outcome
    took_s: float
    first_token_s: float | None
    mean_gap_s: float | None
    whole: bool


class FinishedTrial(NamedTuple):
    """Outcomes, counts and decisions of a finished trial."""

    ended: tuple[RequestEnd, ...]
    role_changes: int
    duplicates: int
    cut_off: int
    decisions: tuple[Decision, ...]


def run_trial(trial: Trial) -> FinishedTrial:
    """Run a trial to its end, in virtual time."""
    return run_virtual(_TrialRun(trial).run, seed=trial.seed)


class _TrialRun:
    """Runs a scenario's arrivals, faults and preset switches on a test bench."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._ended: list[RequestEnd] = []
        self._entry_index = 0

    async def run(self) -> FinishedTrial:
        """Run the whole scenario and collect the outcomes."""
        trial = self._trial
        async with self._open_bench() as bed:
            await trio.sleep(WARM_UP_S)
            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for fault in trial.scenario['faults']:
                    switch = FAULTS.get(fault['kind'])
                    nursery.start_soon(_switch_fault, started + fault['at'], switch, bed, fault['target'], True)
                    nursery.start_soon(_switch_fault, started + fault['until'], switch, bed, fault['target'], False)
                for preset in trial.scenario['presets']:
                    nursery.start_soon(_switch_preset, bed, started + preset['at'], preset['preset'])
                for arrival in arrivals(trial.scenario, trial.seed):
                    await trio.sleep_until(started + arrival.at)
                    nursery.start_soon(self._call, bed, arrival)
            return self._collect(bed)

    def _open_bench(self) -> AbstractAsyncContextManager[DeploymentBench]:
        trial = self._trial
        fleets = frozenset(kind['fleet'] for kind in trial.scenario['classes'].values())
        return DeploymentBench.open(dict(trial.configuration), trial.seed, policy=trial.policy, fleets=fleets)

    async def _call(self, bench: DeploymentBench, arrival: Arrival) -> None:
        """Send a request; retry at the time that the answer names, as often as the caller may."""
        ended = await self._call_once(bench, arrival)
        for _ in range(arrival.client_retries):
            if isinstance(ended.outcome, NotRun):
                await trio.sleep(ended.outcome.retry_after_s)
                ended = await self._call_once(bench, arrival)
        self._ended.append(ended)

    async def _call_once(self, bench: DeploymentBench, arrival: Arrival) -> RequestEnd:
        recorder = _AnswerRecorder()
        started = trio.current_time()
        entry = self._next_entry_name(bench)
        outcome = await bench.entries[entry].entry.serve(arrival.request, recorder.emit)
        expected = answer_text(answer_seed(arrival.request.job.body), 0, arrival.request.job.output_tokens)
        whole = not isinstance(outcome, Answered) or recorder.text == expected
        took_s = trio.current_time() - started
        return RequestEnd(arrival, outcome, took_s, recorder.first_token_s(started), recorder.mean_gap_s(), whole)

    def _next_entry_name(self, bench: DeploymentBench) -> str:
        """Return the name of the next instance, in rotation as with a load balancer."""
        self._entry_index += 1
        entries = sorted(bench.entries)
        return entries[self._entry_index % len(entries)]

    def _collect(self, bench: DeploymentBench) -> FinishedTrial:
        engines = bench.engines.values()
        not_whole = sum(not ended.whole for ended in self._ended)
        decisions = [decision for started in bench.entries.values() for decision in started.entry.decisions.newest()]
        return FinishedTrial(
            ended=tuple(self._ended),
            role_changes=sum(len(engine.orders) for engine in engines),
            duplicates=self._count_duplicates(bench),
            cut_off=not_whole + sum(engine.dropped_by_order for engine in engines),
            decisions=tuple(sorted(decisions, key=lambda found: found.decided_at)),
        )

    def _count_duplicates(self, bench: DeploymentBench) -> int:
        """Count the requests that may run only run_once and ran more often."""
        runs: Counter[int] = Counter()
        for engine in bench.engines.values():
            runs.update(engine.run_counts_by_seed)
        run_once = {
            answer_seed(ended.arrival.request.job.body) for ended in self._ended if not ended.arrival.request.repeatable
        }
        return sum(runs[seed] > 1 for seed in run_once)


class _AnswerRecorder:
    """Records the chunks of an answer and when they arrived."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._times: list[float] = []

    @property
    def text(self) -> str:
        """Text of all chunks."""
        return b''.join(self._chunks).decode()

    async def emit(self, chunk: bytes) -> None:
        """Record a chunk."""
        self._chunks.append(chunk)
        self._times.append(trio.current_time())

    def first_token_s(self, started: float) -> float | None:
        """Return the seconds to the first token."""
        return self._times[0] - started if self._times else None

    def mean_gap_s(self) -> float | None:
        """Return the mean seconds between two tokens after the first."""
        tokens = sum(chunk.count(b' ') for chunk in self._chunks[1:])
        return (self._times[-1] - self._times[0]) / tokens if tokens else None


async def _switch_fault(
    when: float,
    fault: Callable[..., None],
    bench: DeploymentBench,
    target: str,
    on: bool,  # noqa: FBT001
) -> None:
    await trio.sleep_until(when)
    fault(bench, target, on=on)


async def _switch_preset(bench: DeploymentBench, when: float, preset: str) -> None:
    await trio.sleep_until(when)
    async with bench.operator_follower() as operator:
        await operator.submit(SwitchPreset(operator.state.version, 'scenario', preset))


__all__ = ('FinishedTrial', 'RequestEnd', 'Trial', 'run_trial')
