"""Adaptive reserve of the deadline that requests must have to be admitted."""

from __future__ import annotations

# Growth of the share by each late answer, and relative decay by each answer on time.
LATE_INCREMENT = 0.02
DECAY = 0.01
MAX_MARGIN = 0.15


class DeadlineMargin:
    """A share of the deadline that grows with late answers and decays with others.

    A request that is admitted and then late has wasted engine time and made others
    late; one that is refused early has not. Without overload hardly any answer is late
    and the share is near 0. Under overload it settles where the growth by the few late
    answers and the decay balance.
    """

    def __init__(self) -> None:
        """Start without a reserve."""
        self.share: float = 0

    def observe(self, *, late: bool) -> None:
        """Update the share by the outcome of one admitted request."""
        if late:
            self.share = min(self.share + LATE_INCREMENT, MAX_MARGIN)
        else:
            self.share *= 1 - DECAY


__all__ = ('DeadlineMargin',)
