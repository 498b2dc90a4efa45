"""Log fields that explain the choice of a placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.units import whole_ms

if TYPE_CHECKING:
    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.speed_meters import PrefillSpeed
    from sesamepoint.front.engines.engine_plan import EnginePlan


def decision_fields(plan: EnginePlan, prompt: Prompt, path: str) -> dict[str, object]:
    """Return the fields that explain a placement, for the last log line of the request."""
    return {
        'path': path,
        'reader': plan.view.runner,
        'shared': prompt.parts[-2].key if len(prompt.parts) > 1 else '',
        'work_ms': whole_ms(plan.placement.work_s),
        'expected_ms': whole_ms(plan.placement.first_s),
        'wait_ms': whole_ms(plan.view.wait_s),
        'fresh_tokens': plan.view.uncached_tokens,
        'fetch_from': plan.fetch_from,
        'fetch_tokens': plan.view.fetch_tokens,
        'rank': plan.rank,
        'streams': plan.view.streams,
        'rate': _prefill_rate(prompt.tokens, plan.speeds.prefill_speed),
        'overhead_ms': whole_ms(plan.speeds.prefill_speed.overhead_s),
        'plain_pause_ms': whole_ms(plan.speeds.plain_pause_s),
        'engine_factor': round(plan.view.prefill_factor, 2),
        'engine_pause_ms': whole_ms(plan.view.plain_pause_s),
    }


def _prefill_rate(tokens: int, speed: PrefillSpeed) -> int:
    """Return the expected speed of a prefill, in tokens a second; 0 for one that takes no time, of no tokens."""
    prefill_s = speed.prefill_s(tokens, tokens)
    return round(tokens / prefill_s) if prefill_s else 0


__all__ = ('decision_fields',)
