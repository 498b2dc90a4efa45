"""Checks of the guarantees, from what callers, engines and operators can observe."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from sesamepoint_core.answer.outcome import Answered, NotRun
from sesamepoint_standins.engine_model import answer_seed
from tests.virtual_time import expected_text

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.fuzz.simulation import Simulation

DEADLINE_SLACK_S = 5.0


def find_violations(simulation: Simulation) -> list[str]:
    """Return a line for each violated guarantee."""
    return [
        *_check_answers(simulation),
        *_check_runs(simulation),
        *_check_engines(simulation),
        *_check_configuration(simulation),
    ]


def _check_answers(simulation: Simulation) -> Iterator[str]:
    for sent in simulation.sent:
        if sent.record is None:
            yield 'whole answer: a caller still waits'
            continue
        if isinstance(sent.record.outcome, Answered) and sent.record.text != expected_text(sent.req):
            yield 'whole answer: a caller got something else'
        if sent.record.took_s > sent.req.timeout_s + DEADLINE_SLACK_S:
            yield f'final answer at once: it came after {sent.record.took_s:.1f} s'


def _check_runs(simulation: Simulation) -> Iterator[str]:
    runs: Counter[int] = Counter()
    for engine in simulation.bed.engines.values():
        runs.update(engine.run_counts_by_seed)
    outcomes = defaultdict(set)
    for sent in simulation.sent:
        seed = answer_seed(sent.req.job.body)
        outcomes[seed].add(sent.record.outcome.tag if sent.record else 'waits')
        if runs[seed] > 1 and not sent.req.repeatable:
            yield f'at most once: it ran {runs[seed]} times'
    misreported = [seed for seed, tags in outcomes.items() if tags == {NotRun.tag} and runs[seed]]
    yield from ('not run is true: it ran' for _ in misreported)


def _check_engines(simulation: Simulation) -> Iterator[str]:
    for name, engine in simulation.bed.engines.items():
        if engine.dropped_by_order:
            yield f'no planned change cuts off: {name} dropped {engine.dropped_by_order}'
        fences = [fence for _, fence in engine.orders]
        if fences != sorted(fences):
            yield f'lost authority: {name} got orders under {fences}'


def _check_configuration(simulation: Simulation) -> Iterator[str]:
    versions = {name: started.entry.follower.state.version for name, started in simulation.bed.entries.items()}
    if len(set(versions.values())) > 1:
        yield f'in force everywhere: {versions}'
    if simulation.accepted_versions != sorted(set(simulation.accepted_versions)):
        yield f'never reverts: accepted {simulation.accepted_versions}'
    if simulation.accepted_versions and max(simulation.accepted_versions) > max(versions.values()):
        yield f'never reverts: accepted {simulation.accepted_versions}, in force {versions}'


__all__ = ('find_violations',)
