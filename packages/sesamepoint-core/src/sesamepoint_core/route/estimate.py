"""How long a runner would take for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.route.candidate import Estimate

if TYPE_CHECKING:
    from sesamepoint_core.route.candidate import Candidate, Need

ZONE_HOP_S = 0.003
MIN_RATE = 1.0


def estimate(candidate: Candidate, need: Need) -> Estimate:
    """Return the expected times, in seconds from now."""
    hop_s = 0 if candidate.same_zone else ZONE_HOP_S
    new_tokens = max(need.prompt_tokens - candidate.cached_tokens, 0)
    first_token_s = hop_s + (candidate.waiting_tokens + new_tokens) / max(candidate.prefill_rate, MIN_RATE)
    return Estimate(first_token_s, first_token_s + need.output_tokens * candidate.token_s)


__all__ = ('estimate',)
