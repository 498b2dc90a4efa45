"""Checks of the guarantees, from what callers, engines and operators can observe."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from sesamepoint_core.answer.outcome import Answered, NotRun
from sesamepoint_standins.engine_model import seed_of
from tests.virtual import expected_text

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.fuzz.world import World

SLACK_S = 5.0


def broken_promises(world: World) -> list[str]:
    """Return a line for each violated guarantee."""
    return [*_answers(world), *_runs(world), *_engines(world), *_configuration(world)]


def _answers(world: World) -> Iterator[str]:
    for sent in world.sent:
        if sent.seen is None:
            yield 'whole answer: a caller still waits'
            continue
        if isinstance(sent.seen.outcome, Answered) and sent.seen.text != expected_text(sent.req):
            yield 'whole answer: a caller got something else'
        if sent.seen.took_s > sent.req.timeout_s + SLACK_S:
            yield f'final answer at once: it came after {sent.seen.took_s:.1f} s'


def _runs(world: World) -> Iterator[str]:
    runs: Counter[int] = Counter()
    for engine in world.bed.engines.values():
        runs.update(engine.runs_by_seed)
    outcomes = defaultdict(set)
    for sent in world.sent:
        seed = seed_of(sent.req.job.body)
        outcomes[seed].add(sent.seen.outcome.tag if sent.seen else 'waits')
        if runs[seed] > 1 and not sent.req.repeatable:
            yield f'at most once: it ran {runs[seed]} times'
    misreported = [seed for seed, tags in outcomes.items() if tags == {NotRun.tag} and runs[seed]]
    yield from ('not run is true: it ran' for _ in misreported)


def _engines(world: World) -> Iterator[str]:
    for name, engine in world.bed.engines.items():
        if engine.cut_off_by_order:
            yield f'no planned change cuts off: {name} dropped {engine.cut_off_by_order}'
        fences = [fence for _, fence in engine.orders]
        if fences != sorted(fences):
            yield f'lost authority: {name} got orders under {fences}'


def _configuration(world: World) -> Iterator[str]:
    versions = {name: started.entry.follower.state.version for name, started in world.bed.entries.items()}
    if len(set(versions.values())) > 1:
        yield f'in force everywhere: {versions}'
    if world.accepted != sorted(set(world.accepted)):
        yield f'never reverts: accepted {world.accepted}'
    if world.accepted and max(world.accepted) > max(versions.values()):
        yield f'never reverts: accepted {world.accepted}, in force {versions}'


__all__ = ('broken_promises',)
