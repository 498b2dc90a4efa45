"""Requests that wait at this entry for an engine."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# A request that would have to wait for more than this share of its time is
# refused at once: what is let in should be served in any case, and a guess
# of a wait is off by half and more.
MAX_WAIT_SHARE = 0.4
# Callers come back no later than this share of their time; it is the most
# that they heed.
MAX_RETRY_SHARE = 1 / 3


class WaitingRoom:
    """Counts the engine time that waiting requests will take.

    Only what can't be on time any more queues up here for long: what can is
    sent before it.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._work_s: float = 0

    @contextmanager
    def hold(self, work_s: float) -> Iterator[None]:
        """Count ``work_s`` while a request waits."""
        self._work_s += work_s
        try:
            yield
        finally:
            self._work_s -= work_s

    def expected_s(self, entries: int, engines: int) -> float:
        """Return the wait for one that comes now, if all entries are alike."""
        return self._work_s * entries / max(engines, 1)


def hopeless(wait_s: float, left_s: float) -> bool:
    """Tell whether a request with ``left_s`` should not begin to wait."""
    return wait_s > MAX_WAIT_SHARE * left_s


def come_back_s(wait_s: float, left_s: float) -> float:
    """Return when a refused caller should come back."""
    return min(wait_s, MAX_RETRY_SHARE * left_s)


__all__ = ('WaitingRoom', 'come_back_s', 'hopeless')
