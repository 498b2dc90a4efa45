"""Whether the runners of a service show life to this instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds from a send to the first sign of life of any runner of its service beyond which the service stands still.
STANDSTILL_S = 1.0


class ServiceLife:
    """Tells when the requests for a service and a reserve may pay for its repeats.

    While all runners of a service stand still, sends that this instance or others have paid are unread, also those of a
    process that has been killed since, or of an instance whose callers have come here. They are all read when the
    runners go on, in one window with what is paid from then on. So what callers ask for meanwhile pays for nothing:
    else each process that is started, and each instance that callers move to, would pay for as many again.

    Parameters
    ----------
    window_s
        Length of the window of the retry budget, in seconds.
    clock
        Returns the time of a monotonic clock, in seconds.
    """

    def __init__(self, window_s: float, clock: Callable[[], float]) -> None:
        """Start without a sign of life."""
        self.shown = False
        self._clock = clock
        self._window_s = window_s
        # When the first request was sent of which, or after which, no runner has read anything.
        self._waiting_since: float | None = None
        # Requests that have come before the first sign of life, or in the first moment without one.
        self._waiting_requests = 0
        self._reserve_from = -math.inf

    def change_window(self, window_s: float) -> None:
        """Change the length of the window."""
        self._window_s = window_s

    def note_request(self) -> None:
        """Count a request for the service."""
        self._waiting_requests += 1

    def note_send(self) -> None:
        """Note that a request is sent to a runner."""
        if self._waiting_since is None:
            self._waiting_since = self._clock()

    def note_life(self) -> None:
        """Note that a runner has read a request."""
        if self._stands_still:
            self._waiting_requests = 0
            if not self.shown:
                self._reserve_from = self._clock() + self._window_s
        self.shown = True
        self._waiting_since = None

    def take_earning(self) -> int:
        """Return how many more requests may pay for repeats now."""
        if self._stands_still or not self.shown:
            return 0
        earning = self._waiting_requests
        self._waiting_requests = 0
        return earning

    @property
    def reserve_counts(self) -> bool:
        """Tell whether a share of the reserve may be used: not soon after a start at a service that stood still."""
        return self.shown and self._clock() >= self._reserve_from

    @property
    def _stands_still(self) -> bool:
        return self._waiting_since is not None and self._clock() - self._waiting_since > STANDSTILL_S


__all__ = ('STANDSTILL_S', 'ServiceLife')
