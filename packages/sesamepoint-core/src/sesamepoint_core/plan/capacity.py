"""Estimate of the requests that a fleet can't answer in time at given role counts."""

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
    """Offered demand by class: requests of the main job, and small ones."""

    main: Demand
    small: Demand


def late_rate(engine: EngineConfig, counts: Mapping[Role, int], load: Load) -> float:
    """Return how many requests per second would be answered late or refused.

    This is a fluid model: a runner has a service rate for each role and
    class of requests, which follows from the time of its steps; a full batch
    slows its answers. The main job is allocated first, to the roles with the
    highest service rate for it relative to that for small requests. The
    small requests get the remaining runners.
    """
    service_rates = {role: (rate(engine, role, load.main), rate(engine, role, load.small)) for role in counts}
    order = sorted(counts, key=lambda role: -service_rates[role][0] / max(service_rates[role][1], TINY))
    runners: dict[Role, float] = {role: float(counts[role]) for role in counts}
    late_main = _place(load.main.requests, runners, order, {role: service_rates[role][0] for role in counts})
    late_small = _place(
        load.small.requests, runners, tuple(reversed(order)), {role: service_rates[role][1] for role in counts}
    )
    return late_main + late_small


def rate(engine: EngineConfig, role: Role, work: Demand) -> float:
    """Return how many requests of a class one runner can answer per second.

    A higher utilization makes the steps of an engine longer, and so the time
    between two tokens. The rate is that of the highest utilization at which
    an average request still meets its deadline; 0 if there is none.
    """
    if not work.requests:
        return 0
    prompt = work.prompt_tokens / work.requests
    output = work.output_tokens / work.requests
    profile = engine['profiles'][role]
    steps = max(prompt / profile['chunk_tokens'], output / profile['max_running'])
    busy_s = steps * engine['base_step_s'] + prompt * engine['prefill_token_s'] + output * engine['decode_answer_s']
    for step in range(STEPS, 0, -1):
        utilization = FULL * step / STEPS
        if _finish_s(engine, role, (prompt, output), utilization) <= work.timeout_s * USABLE_TIMEOUT:
            return utilization / busy_s
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
    """Allocate runners to requests in the given order of roles and return the rate left over."""
    for role in order:
        if able[role] > 0:
            allocated = min(runners[role], requests / able[role])
            runners[role] -= allocated
            requests -= allocated * able[role]
    return max(requests, 0)


__all__ = ('Counts', 'Load', 'late_rate', 'rate')
