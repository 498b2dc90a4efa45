"""Work that entries hold back until an engine has got to it."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

import trio

# A peer's word on what it holds counts for this long, in seconds. Entries
# that hold work say so every 50 ms; one that has died must not be counted.
BELIEVED_S = 0.5


class Held(NamedTuple):
    """Requests that one entry holds and that can still be on time.

    Parameters
    ----------
    requests
        How many there are.
    work_s
        Engine seconds that they take.
    """

    service: str
    requests: int
    work_s: float


class Backlog:
    """What is held for each service, here and at the other entries."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self._own: dict[str, Held] = {}
        self._peers: dict[str, dict[str, tuple[float, Held]]] = defaultdict(dict)

    def note_own(self, held: dict[str, Held]) -> None:
        """Take what this entry holds now."""
        self._own = held

    def own(self) -> tuple[Held, ...]:
        """Return what this entry holds, to be told to the others."""
        return tuple(self._own.values())

    def heard(self, entry: str, held: tuple[Held, ...]) -> None:
        """Take what ``entry`` holds, in place of what it told before."""
        now = trio.current_time()
        for told in self._peers.values():
            told.pop(entry, None)
        for one in held:
            self._peers[one.service][entry] = (now, one)

    def requests(self, service: str) -> int:
        """Return how many requests wait for ``service`` at all entries."""
        own = self._own.get(service)
        return sum(held.requests for held in self.at_peers(service)) + (own.requests if own else 0)

    def at_peers(self, service: str) -> list[Held]:
        """Return what the other entries hold for ``service``."""
        since = trio.current_time() - BELIEVED_S
        return [held for told_at, held in self._peers[service].values() if told_at >= since]


__all__ = ('Backlog', 'Held')
