"""Detection of a runner that has gone silent, from the requests of this instance."""

from __future__ import annotations

# A runner with a request outstanding that has sent nothing for this many seconds
# gets no other requests until it sends something. Healthy engines under load send
# something every few tens of milliseconds.
SILENCE_TIMEOUT_S = 0.7


class RunnerSilence:
    """Requests of this instance that await a first response of one runner."""

    def __init__(self) -> None:
        """Start without requests."""
        self._waiting: dict[int, float] = {}
        self._active_at: float = 0
        self._last_ticket = 0
        # Ratio of the runner's times to those of its service, by which it may be silent for longer.
        self.slowness: float = 1.0

    def silent(self, now: float) -> bool:
        """Tell whether the runner has sent nothing for too long while a request is outstanding."""
        oldest = next(iter(self._waiting.values()), now)
        return now - max(oldest, self._active_at) > SILENCE_TIMEOUT_S * self.slowness

    def note_activity(self, now: float) -> None:
        """Note that the runner has sent a part of any answer."""
        self._active_at = now

    def active_since(self, moment: float) -> bool:
        """Tell whether the runner has sent anything after ``moment``."""
        return self._active_at > moment

    def note_sent(self, now: float) -> int:
        """Note that a request awaits its first response; returns its ticket."""
        self._last_ticket += 1
        self._waiting[self._last_ticket] = now
        return self._last_ticket

    def sent_at(self, ticket: int, default: float) -> float:
        """Return when the request with ``ticket`` was sent; ``default`` if it awaits nothing any more."""
        return self._waiting.get(ticket, default)

    def note_settled(self, ticket: int, now: float) -> None:
        """Note that the request with ``ticket`` no longer awaits its first response."""
        self._waiting.pop(ticket, None)


__all__ = ('SILENCE_TIMEOUT_S', 'RunnerSilence')
