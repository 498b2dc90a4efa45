"""How much of an offered load a fleet can answer in time."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sesamepoint_core.config.model import EngineConfig, Role
    from sesamepoint_core.plan.demand import Demand

FULL = 0.9
USABLE_TIMEOUT = 0.8
STEPS = 9
TINY = 1e-9

Counts = dict['Role', int]


class Load(NamedTuple):
    """Offered load by class: the main job, and the small ones."""

    main: Demand
    small: Demand


def late_rate(engine: EngineConfig, counts: Mapping[Role, int], load: Load) -> float:
    """Return the answers per second that would be late or refused.

    A fluid model: each role can answer so many requests of a class a second,
    as its steps cost time and a full batch slows its answers. The main job
    is placed first, on the roles that are relatively best at it; the small
    jobs get what is left.
    """
    able = {role: (rate(engine, role, load.main), rate(engine, role, load.small)) for role in counts}
    order = sorted(counts, key=lambda role: -able[role][0] / max(able[role][1], TINY))
    runners: dict[Role, float] = {role: float(counts[role]) for role in counts}
    late_main = _place(load.main.requests, runners, order, {role: able[role][0] for role in counts})
    late_small = _place(load.small.requests, runners, tuple(reversed(order)), {role: able[role][1] for role in counts})
    return late_main + late_small


def rate(engine: EngineConfig, role: Role, work: Demand) -> float:
    """Return how many requests of a class one runner can answer a second.

    The fuller a runner is with prompts, the longer its steps and so the
    time between two tokens; the answer is the fullest that still keeps
    the deadline.
    """
    if not work.requests:
        return 0
    prompt = work.prompt_tokens / work.requests
    output = work.output_tokens / work.requests
    profile = engine['profiles'][role]
    steps = max(prompt / profile['chunk_tokens'], output / profile['max_running'])
    busy_s = steps * engine['base_step_s'] + prompt * engine['prefill_token_s'] + output * engine['decode_answer_s']
    for step in range(STEPS, 0, -1):
        full = FULL * step / STEPS
        if _finish_s(engine, role, (prompt, output), full) <= work.timeout_s * USABLE_TIMEOUT:
            return full / busy_s
    return 0


def _finish_s(engine: EngineConfig, role: Role, work: tuple[float, float], full: float) -> float:
    prompt, output = work
    profile = engine['profiles'][role]
    chunk_s = profile['chunk_tokens'] * engine['prefill_token_s']
    prefill_s = prompt * (engine['prefill_token_s'] + engine['base_step_s'] / profile['chunk_tokens'])
    prefill_share = prefill_s / (prefill_s + output * engine['decode_answer_s'])
    step_s = engine['base_step_s'] + full * prefill_share * chunk_s
    return prefill_s / (1 - full) + output * step_s


def _place(
    requests: float,
    runners: dict[Role, float],
    order: Sequence[Role],
    able: Mapping[Role, float],
) -> float:
    """Use runners up for ``requests`` a second; return what found no place."""
    for role in order:
        if able[role] > 0:
            used = min(runners[role], requests / able[role])
            runners[role] -= used
            requests -= used * able[role]
    return max(requests, 0)


__all__ = ('Counts', 'Load', 'late_rate', 'rate')
