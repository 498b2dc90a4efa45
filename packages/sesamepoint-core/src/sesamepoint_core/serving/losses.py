"""Share of an engine's answers that are lost, from the observations of all instances."""

from __future__ import annotations

# Seconds after which an observation counts half. Faults last for seconds. An engine
# that is avoided gives no new observations, so it gets requests again by this decay.
HALF_S = 2.0
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
        self._all: float = 0
        self._at: float = 0

    def note(self, now: float, *, lost: bool) -> None:
        """Count one answer."""
        self._fade(now)
        self._all += 1
        self._lost += lost

    def share(self, now: float) -> float:
        """Return the expected share of lost answers."""
        if not self._lost:
            # The usual case; this is called for each engine at each choice.
            return 0
        self._fade(now)
        return self._lost / (self._all + PRIOR_ANSWERS)

    def _fade(self, now: float) -> None:
        factor = 0.5 ** ((now - self._at) / HALF_S)
        self._lost *= factor
        self._all *= factor
        self._at = now


__all__ = ('HALF_S', 'LossMeter')
