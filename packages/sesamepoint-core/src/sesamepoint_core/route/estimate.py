"""Estimates of how long a runner would take for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.route.candidate import Estimate

if TYPE_CHECKING:
    from sesamepoint_core.route.candidate import Candidate, RequestSpec
    from sesamepoint_core.route.load import UpstreamLoad

CROSS_ZONE_S = 0.003
MIN_PREFILL_RATE = 1.0


def estimate(candidate: Candidate, request: RequestSpec) -> Estimate:
    """Return the expected times of a request at a runner, in seconds from now."""
    load = candidate.load
    rate = max(load.prefill_rate, MIN_PREFILL_RATE)
    new_tokens = request.prompt_tokens - cached_tokens(load, request)
    queued_tokens = load.urgent_tokens if request.urgent else load.waiting_tokens
    hop_s = 0 if candidate.same_zone else CROSS_ZONE_S
    first_token_s = hop_s + (queued_tokens + new_tokens) / rate + _slot_wait_s(load, request)
    # The prompt shares the engine's steps with the running answers, so each
    # of them is delayed by the time that the prompt takes.
    delay_s = min(load.running, load.slots) * new_tokens / rate
    finish_s = first_token_s + request.output_tokens * load.token_s
    return Estimate(first_token_s * candidate.time_correction, finish_s * candidate.time_correction, delay_s)


def cached_tokens(load: UpstreamLoad, request: RequestSpec) -> int:
    """Return how many tokens of the prompt the runner has in its cache."""
    if request.prefix and request.prefix in load.prefixes:
        return min(request.prefix_tokens, request.prompt_tokens)
    return 0


def _slot_wait_s(load: UpstreamLoad, request: RequestSpec) -> float:
    """Return the expected wait for a slot in seconds; 0 if one is free.

    The answers before this one are assumed to be as long as this one, and
    their progress to be spread evenly.
    """
    excess = load.running + load.waiting + 1 - load.slots
    if excess <= 0 or not load.slots:
        return 0
    return excess * request.output_tokens * load.token_s / load.slots


__all__ = ('cached_tokens', 'estimate')
