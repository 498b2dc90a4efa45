"""Whether the registration of one incarnation of a runner stands, was removed, or is back."""

from __future__ import annotations

import math


class Presence:
    """Presence of one incarnation in the list of runners; it does no I/O.

    A removal is final for a runner that leaves, and not for one that could not reach the store. Both look the same
    in the store, and so do a registration that a runner writes again and a late one of before its removal. So a
    registration that comes back is unconfirmed, and the runner is not used beyond the grace period of the removal until
    something shows that it serves.
    """

    def __init__(self) -> None:
        """Start as registered."""
        self.removed_at: float | None = None
        # When the registration came back after its removal; None if it is registered or removed.
        self.back_at: float | None = None
        self._usable_until = math.inf

    @property
    def registered(self) -> bool:
        """Tell whether the registration stands, and was never removed or is confirmed."""
        return self.removed_at is None

    @property
    def unconfirmed(self) -> bool:
        """Tell whether the registration is back and nothing has shown yet that the runner serves."""
        return self.back_at is not None

    def lapsed(self, now: float) -> bool:
        """Tell whether the grace period of a removal is over."""
        return now > self._usable_until

    def gone(self, now: float) -> bool:
        """Tell whether the runner is to be forgotten: its grace period is over, and its registration is not back."""
        return self.lapsed(now) and not self.unconfirmed

    def note_removed(self, now: float, grace_s: float) -> bool:
        """Note the removal of the registration; return whether it was registered before.

        The grace period of an earlier removal that was not followed by a confirmation goes on.
        """
        self.back_at = None
        if self.removed_at is not None:
            return False
        self.removed_at = now
        self._usable_until = now + grace_s
        return True

    def note_back(self, now: float) -> bool:
        """Note that the registration is there; return whether it has come back just now."""
        if self.registered or self.unconfirmed:
            return False
        self.back_at = now
        return True

    def confirm(self) -> None:
        """Note that the runner serves."""
        self.removed_at = None
        self.back_at = None
        self._usable_until = math.inf


__all__ = ('Presence',)
