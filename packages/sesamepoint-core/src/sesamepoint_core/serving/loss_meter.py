"""Share of an engine's answers that are lost, from the observations of all instances."""

from __future__ import annotations

# Seconds after which an observation counts half. Faults last for seconds. An engine
# that is avoided gives no new observations, so it gets requests again by this decay.
HALF_LIFE_S = 2.0
# Good answers that are assumed besides the observed ones: a single lost answer may be
# chance, or the fault of the instance that missed it.
PRIOR_ANSWERS = 4.0


class LossMeter:
    """The share of answers that were lost, with exponential decay.

    It needs the observations of all instances: one instance sends a request to each
    of 28 engines every two seconds only, and the fault would be over before that
    instance alone could tell which engines lose answers.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._lost: float = 0
        self._total: float = 0
        self._updated_at: float = 0

    def observe(self, now: float, *, lost: bool) -> None:
        """Count one answer."""
        self._decay(now)
        self._total += 1
        self._lost += lost

    def share(self, now: float) -> float:
        """Return the expected share of lost answers."""
        if not self._lost:
            # The usual case; this is called for each engine at each choice.
            return 0
        self._decay(now)
        return self._lost / (self._total + PRIOR_ANSWERS)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
        self._lost *= factor
        self._total *= factor
        self._updated_at = now


__all__ = ('HALF_LIFE_S', 'LossMeter')
