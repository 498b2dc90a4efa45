"""How long a list has been shown to be current without a break."""

from __future__ import annotations

import math


class ListCurrency:
    """Unbroken time for which a list in the store was shown to be current; it does no I/O.

    While the store is away it may leave out the removal of registrations that nobody renews. So the time of such a
    break, and what came before it, shows nothing about a registration that still stands.
    """

    def __init__(self, longest_gap_s: float) -> None:
        """Start before the first answer; two answers more than ``longest_gap_s`` seconds apart have a break between."""
        self.longest_gap_s = longest_gap_s
        self._unbroken_since = math.inf
        self._current_at = -math.inf

    def note_current(self, now: float) -> None:
        """Note that the list is current."""
        if now - self._current_at > self.longest_gap_s:
            self._unbroken_since = now
        self._current_at = now

    def unbroken_s(self, since: float) -> float:
        """Return for how many seconds since ``since`` the list has been current without a break until now."""
        return max(0, self._current_at - max(since, self._unbroken_since))


__all__ = ('ListCurrency',)
