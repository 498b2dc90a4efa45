"""Estimate of the requests that a fleet can't answer in time at given role counts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sesamepoint_core.config.model import EngineConfig, Role
    from sesamepoint_core.plan.demand import Demand

MAX_UTILIZATION = 0.9
MAX_TIMEOUT_SHARE = 0.8
UTILIZATION_STEPS = 9
MIN_DIVISOR_RATE = 1e-9

RoleCounts = dict['Role', int]


class ClassDemands(NamedTuple):
    """Offered demand by class: requests of the main job, and small ones."""

    main: Demand
    small: Demand


def late_rate(engine: EngineConfig, counts: Mapping[Role, int], demands: ClassDemands) -> float:
    """Return how many requests per second would be answered late or refused.

    This is a fluid model: a runner has a service rate for each role and
    class of requests, which follows from the time of its steps; a full batch
    slows its answers. The main job is allocated first, to the roles with the
    highest service rate for it relative to that for small requests. The
    small requests get the remaining runners.
    """
    service_rates = {
        role: (service_rate(engine, role, demands.main), service_rate(engine, role, demands.small)) for role in counts
    }
    order = sorted(counts, key=lambda role: -service_rates[role][0] / max(service_rates[role][1], MIN_DIVISOR_RATE))
    runners: dict[Role, float] = {role: float(counts[role]) for role in counts}
    late_main = _allocate(demands.main.requests, runners, order, {role: service_rates[role][0] for role in counts})
    late_small = _allocate(
        demands.small.requests, runners, tuple(reversed(order)), {role: service_rates[role][1] for role in counts}
    )
    return late_main + late_small


def service_rate(engine: EngineConfig, role: Role, demand: Demand) -> float:
    """Return how many requests of a class one runner can answer per second.

    A higher utilization makes the steps of an engine longer, and so the time
    between two tokens. The rate is that of the highest utilization at which
    an average request still meets its deadline; 0 if there is none.
    """
    if not demand.requests:
        return 0
    prompt = demand.prompt_tokens / demand.requests
    output = demand.output_tokens / demand.requests
    profile = engine['profiles'][role]
    steps = max(prompt / profile['chunk_tokens'], output / profile['max_running'])
    busy_s = steps * engine['base_step_s'] + prompt * engine['prefill_token_s'] + output * engine['decode_answer_s']
    for step in range(UTILIZATION_STEPS, 0, -1):
        utilization = MAX_UTILIZATION * step / UTILIZATION_STEPS
        if _response_time_s(engine, role, (prompt, output), utilization) <= demand.timeout_s * MAX_TIMEOUT_SHARE:
            return utilization / busy_s
    return 0


def _response_time_s(engine: EngineConfig, role: Role, tokens: tuple[float, float], utilization: float) -> float:
    prompt, output = tokens
    profile = engine['profiles'][role]
    chunk_s = profile['chunk_tokens'] * engine['prefill_token_s']
    prefill_s = prompt * (engine['prefill_token_s'] + engine['base_step_s'] / profile['chunk_tokens'])
    prefill_share = prefill_s / (prefill_s + output * engine['decode_answer_s'])
    step_s = engine['base_step_s'] + utilization * prefill_share * chunk_s
    return prefill_s / (1 - utilization) + output * step_s


def _allocate(
    requests: float,
    runners: dict[Role, float],
    order: Sequence[Role],
    service_rates: Mapping[Role, float],
) -> float:
    """Allocate runners to requests in the given order of roles and return the rate left over."""
    for role in order:
        if service_rates[role] > 0:
            allocated = min(runners[role], requests / service_rates[role])
            runners[role] -= allocated
            requests -= allocated * service_rates[role]
    return max(requests, 0)


__all__ = ('ClassDemands', 'RoleCounts', 'late_rate', 'service_rate')
