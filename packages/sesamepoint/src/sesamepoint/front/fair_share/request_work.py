"""Work of a request: what it takes of the runners of its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamepoint.front.engines.engine_plan import EnginePlan

# Time for which a plain request occupies a slot, in seconds, before any was measured.
DEFAULT_PLAIN_S = 0.05
# Gains for times below and above the estimate. A request that takes longer mostly waited
# for a slot at its runner, so longer times are followed slowly.
GAIN_FASTER = 0.3
GAIN_SLOWER = 0.02


def prompt_work_s(plan: EnginePlan, slot_s: float) -> float:
    """Return the engine seconds of a prompt: its prefill, and its share of the slots of its decode engine.

    Parameters
    ----------
    slot_s
        Seconds for which an answer of its route occupies an engine slot.
    """
    return plan.placement.work_s + slot_s / max(plan.decode.runner.slots, 1)


class PlainWorkMeter:
    """Estimator of the slot seconds of a plain request, by route."""

    def __init__(self) -> None:
        """Start from the initial estimate."""
        self._by_route: dict[str, float] = {}

    def work_s(self, route: str) -> float:
        """Return the slot seconds of a request of ``route``."""
        return self._by_route.get(route, DEFAULT_PLAIN_S)

    def observe(self, route: str, took_s: float) -> None:
        """Update the estimate by the time that a runner took for a request."""
        expected_s = self._by_route.get(route, took_s)
        gain = GAIN_FASTER if took_s < expected_s else GAIN_SLOWER
        self._by_route[route] = expected_s + gain * (took_s - expected_s)

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget the routes that are no longer configured."""
        for route in self._by_route.keys() - routes:
            self._by_route.pop(route)


__all__ = ('PlainWorkMeter', 'prompt_work_s')
