"""How many answers an engine loses, by what all entries see of it lately."""

from __future__ import annotations

# What was seen so many seconds ago counts half. Troubles of today last for
# seconds; an engine that is avoided shows nothing new, and comes back by this.
HALF_S = 2.0
# Answers that a sound engine is taken to have given besides: one lost answer
# may be chance, or the fault of the entry that missed it.
PRIOR_ANSWERS = 4.0


class LossMeter:
    """The share of answers that were lost, the newest ones most.

    One entry sends a request every two seconds to each of 28 engines. Alone,
    it would find out which of them lose answers when that is over.
    """

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._lost: float = 0
        self._all: float = 0
        self._at: float = 0

    def note(self, now: float, *, lost: bool) -> None:
        """Count one answer."""
        self._fade(now)
        self._all += 1
        self._lost += lost

    def share(self, now: float) -> float:
        """Return the share that is expected to be lost."""
        if not self._lost:
            # Asked of each engine at each choice, and mostly so.
            return 0
        self._fade(now)
        return self._lost / (self._all + PRIOR_ANSWERS)

    def _fade(self, now: float) -> None:
        kept = 0.5 ** ((now - self._at) / HALF_S)
        self._lost *= kept
        self._all *= kept
        self._at = now


__all__ = ('HALF_S', 'LossMeter')
