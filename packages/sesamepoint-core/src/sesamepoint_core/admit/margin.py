"""How much of a deadline is kept in reserve when work is let in."""

from __future__ import annotations

GROWTH = 0.02
FADING = 0.01
MAX_MARGIN = 0.15


class Margin:
    """A share of the deadline that grows with late answers and fades.

    What is let in and then late has used engine time for nothing and made
    others late; what is refused early has not. Without pressure hardly any
    answer is late and next to nothing is held back; under overload the
    margin settles where the few late ones and the fading balance.
    """

    def __init__(self) -> None:
        """Start without a reserve."""
        self.share: float = 0

    def observe(self, *, late: bool) -> None:
        """Learn from one request that was let in."""
        if late:
            self.share = min(self.share + GROWTH, MAX_MARGIN)
        else:
            self.share *= 1 - FADING


__all__ = ('Margin',)
