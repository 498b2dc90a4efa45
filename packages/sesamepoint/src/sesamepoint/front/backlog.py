"""Work that entries hold back until an engine has got to it."""

from __future__ import annotations

import enum
from typing import NamedTuple

import trio

# A peer's word on what it holds counts for this long, in seconds. Entries
# that hold work say so every 50 ms; one that has died must not be counted.
BELIEVED_S = 0.5


class Need(enum.Enum):
    """What a held request waits for."""

    prefill = 'prefill'
    decode = 'decode'
    slot = 'slot'


class Line(NamedTuple):
    """Requests that wait for the same thing."""

    service: str
    need: Need


class Held(NamedTuple):
    """What one entry holds in one line, of routes with one target.

    Parameters
    ----------
    target_s
        Seconds after which an answer is late.
    requests
        How many can still be on time.
    work_s
        Engine seconds that those take.
    late_s
        Engine seconds that the others take.
    """

    line: Line
    target_s: float
    requests: int
    work_s: float
    late_s: float = 0


class _Told(NamedTuple):
    at: float
    held: tuple[Held, ...]


class Backlog:
    """What is held in each line, here and at the other entries."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self.own: tuple[Held, ...] = ()
        self._peers: dict[str, _Told] = {}

    def heard(self, entry: str, held: tuple[Held, ...]) -> None:
        """Take what ``entry`` holds, in place of what it told before."""
        self._peers[entry] = _Told(trio.current_time(), held)

    def forget(self, entry: str) -> None:
        """Drop what ``entry`` told: it has left."""
        self._peers.pop(entry, None)

    def requests(self, line: Line, share: float = 1) -> float:
        """Return how many requests wait in ``line``: of the other entries' ones, ``share``."""
        own = sum(held.requests for held in self.own if held.line == line)
        return own + share * sum(held.requests for held in self.at_peers(line))

    def at_peers(self, line: Line) -> list[Held]:
        """Return what the other entries hold in ``line``."""
        since = trio.current_time() - BELIEVED_S
        fresh = (told.held for told in self._peers.values() if told.at >= since)
        return [one for held in fresh for one in held if one.line == line]


__all__ = ('Backlog', 'Held', 'Line', 'Need')
