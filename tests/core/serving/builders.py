"""Builders of engine states and prefix blocks for tests."""

from __future__ import annotations

from typing import Any

from sesamepoint_core.serving.placement import EngineView, Speeds
from sesamepoint_core.serving.prompt import Part
from sesamepoint_core.serving.runner import Stage
from sesamepoint_core.serving.speed_meters import PrefillSpeed

# The engines of the smaller known deployment, as measured there.
FAST = Speeds(
    prefill_speed=PrefillSpeed(overhead_s=0.036, token_s=1 / 112_000, pair_s=0),
    transfer_tokens_s=2_500_000,
    pause_s=0.15,
    plain_pause_s=0.04,
    late_cost_s=0.4,
)
# Those of the larger one: prefill is slower, and streams may pause for longer.
SLOW = FAST._replace(prefill_speed=PrefillSpeed(0.036, 1 / 36_700, 0), pause_s=0.25, late_cost_s=0.8)


def prefill(runner: str, uncached_tokens: int, **changes: Any) -> EngineView:
    """Return the state of a prefill engine."""
    return EngineView(runner, Stage.prefill, changes.pop('wait_s', 0), uncached_tokens, **changes)


def decode(runner: str, uncached_tokens: int, **changes: Any) -> EngineView:
    """Return the state of a decode engine."""
    return EngineView(runner, Stage.decode, changes.pop('wait_s', 0), uncached_tokens, **changes)


def blocks(*sizes: tuple[str, int]) -> tuple[Part, ...]:
    """Return prefix blocks of the given keys and token counts."""
    return tuple(Part(key, tokens) for key, tokens in sizes)


__all__ = ('FAST', 'SLOW', 'blocks', 'decode', 'prefill')
