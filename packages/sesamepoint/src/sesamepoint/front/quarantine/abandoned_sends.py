"""Sends that were abandoned just before their runner ended."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint_core.serving.prompt import Part

# A request that was abandoned, because its caller left or its runner was silent,
# becomes suspect if that runner ends within this time, in seconds. Poison requests
# ended their runners 0.05 to 0.15 s after they began to run.
ABANDONED_WINDOW_S = 0.5
# Recently abandoned requests that are kept; in a burst some hundred callers
# leave per second.
MAX_ABANDONED = 256


class SuspectSend(NamedTuple):
    """What of a send may have ended its runner; ``alone`` if it was a probe."""

    content_id: str
    parts: tuple[Part, ...]
    incarnation: Incarnation
    scope: str
    alone: bool


class AbandonedSends:
    """Sends that were abandoned recently.

    Their connections were closed when their runner ended, so their attempts did not fail. Without
    them, a poison request whose callers leave early and retry would be sent again and again.
    """

    def __init__(self) -> None:
        """Start without sends."""
        self._sends: deque[tuple[float, SuspectSend]] = deque(maxlen=MAX_ABANDONED)

    def add(self, send: SuspectSend) -> None:
        """Remember a send that is abandoned now."""
        self._sends.append((trio.current_time(), send))

    def take(self, incarnation: Incarnation) -> list[SuspectSend]:
        """Remove and return the sends that were abandoned at a runner just before it ended."""
        since = trio.current_time() - ABANDONED_WINDOW_S
        found = [entry for entry in self._sends if entry[1].incarnation == incarnation and entry[0] >= since]
        for entry in found:
            self._sends.remove(entry)
        return [send for _, send in found]


__all__ = ('ABANDONED_WINDOW_S', 'AbandonedSends', 'SuspectSend')
