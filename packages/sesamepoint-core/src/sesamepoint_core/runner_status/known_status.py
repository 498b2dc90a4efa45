"""Known status of one incarnation of a runner: draining, and back-off."""

from __future__ import annotations

import math

# Requests of one instance that may be in flight at a runner right after a back-off, and the
# seconds after which that number doubles: if all waiting requests were sent at once they
# would be turned away again.
FIRST_AFTER_BACK_OFF = 1
RAMP_DOUBLING_S = 0.25
# After this many doublings the number is unlimited again.
RAMP_DOUBLINGS = 6


class KnownStatus:
    """Status of one incarnation of a runner, as known to one instance; it does no I/O.

    Draining never ends for an incarnation: registrations and answers that do not mention
    it may be older. A back-off applies between the runner and one instance; it is only
    ever extended, not shortened.
    """

    def __init__(self) -> None:
        """Start as neither draining nor in a back-off."""
        self.draining = False
        self._back_off_until = -math.inf
        self._peer_back_off_until = -math.inf

    def mark_draining(self) -> bool:
        """Mark the runner as draining; return whether it was not marked before."""
        changed = not self.draining
        self.draining = True
        return changed

    def back_off(self, for_s: float, now: float) -> bool:
        """Start a back-off of ``for_s`` seconds; return whether this extends the known one."""
        until = now + for_s
        if until <= max(self._back_off_until, now):
            return False
        self._back_off_until = until
        return True

    def note_peer_back_off(self, for_s: float, now: float) -> bool:
        """Record that a peer was asked to back off for ``for_s`` seconds; return whether no such time was running."""
        changed = now >= self._peer_back_off_until
        self._peer_back_off_until = max(self._peer_back_off_until, now + for_s)
        return changed

    def clear_peer_back_off(self) -> None:
        """Forget the back-off asked of a peer, since the runner accepts requests of this instance."""
        self._peer_back_off_until = -math.inf

    def peer_backs_off(self, now: float) -> bool:
        """Return whether a peer was asked to back off, so that this instance should prefer other runners."""
        return now < self._peer_back_off_until

    def back_off_left_s(self, now: float) -> float:
        """Return the remaining seconds of the back-off; 0 if there is none."""
        return max(self._back_off_until - now, 0)

    def max_in_flight(self, now: float) -> float:
        """Return how many requests of this instance may be in flight at the runner; infinite without a bound."""
        since_s = now - self._back_off_until
        if since_s < 0:
            return 0
        if since_s >= (RAMP_DOUBLINGS + 1) * RAMP_DOUBLING_S:
            return math.inf
        return FIRST_AFTER_BACK_OFF * math.pow(2, since_s // RAMP_DOUBLING_S)


# Status of an incarnation that has reported nothing; never modified.
NO_STATUS = KnownStatus()


__all__ = (
    'NO_STATUS',
    'KnownStatus',
)
