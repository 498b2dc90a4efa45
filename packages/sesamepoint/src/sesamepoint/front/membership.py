"""Registered peers, and detection of failed ones by missing heartbeats.

The list of instances is a topic of the store: one record per instance, written
at its start and removed at its stop. A failed instance removes nothing. Its
record kept a share of the retry budget that no instance could spend, and
messages went to its address, where another process may listen by then. So the
record of an instance from which nothing was received for a while is removed; if
the instance is alive, it sees that and registers again.

Heartbeats go only to the instance that polls the list for all: sent to all peers,
they came to a hundred messages per second at each of 300 instances.
"""

from __future__ import annotations

from typing import NamedTuple

# An instance that has sent nothing else to the polling instance sends a heartbeat
# after this many seconds. With 350 instances the polling instance receives 120
# heartbeats, 6 kB, per second.
ALIVE_S = 3.0
# An instance is declared dead after this many seconds without any message: six
# lost heartbeats, or a freeze of that length. Shorter freezes and network cuts
# have no consequence.
LOST_S = 20.0
# Only the polling instance may declare a peer dead, and only if it was reached by
# this share of the peers during all of that time: an instance that is reached by
# few is more likely cut off itself, and when it is connected again, it receives
# from one peer after the other.
HEARING_SHARE = 0.5
# A peer counts as reachable if it sent a message within this time, in seconds:
# three heartbeats.
HEARD_S = 3 * ALIVE_S


class Lost(NamedTuple):
    """A peer from which nothing was received for ``silent_s`` seconds."""

    name: str
    silent_s: float


class Membership:
    """Tracks peers and decides which have failed; does no input or output."""

    def __init__(self, name: str) -> None:
        """Start without peers at the instance called ``name``."""
        self._name = name
        self._heard: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self._deaf_at: float = 0
        self._reader = ''

    def __contains__(self, name: object) -> bool:
        """Tell whether ``name`` is a registered peer."""
        return name in self._heard

    def join(self, name: str, now: float) -> None:
        """Note that ``name`` has registered; this counts as a heartbeat."""
        if name != self._name:
            self._heard[name] = now

    def leave(self, name: str) -> None:
        """Note that the record of ``name`` was removed."""
        self._heard.pop(name, None)
        self._told.pop(name, None)

    def read_by(self, name: str) -> None:
        """Note that ``name`` polls the list of instances for all."""
        self._reader = name

    def heard(self, name: str, now: float) -> None:
        """Note a message from ``name``; ignored if it is not registered."""
        if name in self:
            self._heard[name] = now

    def heard_within(self, span_s: float, now: float) -> list[str]:
        """Return the peers that sent a message within the last ``span_s`` seconds."""
        return [name for name, at in self._heard.items() if now - at <= span_s]

    def told(self, name: str, now: float) -> None:
        """Note that a message was sent to ``name``."""
        self._told[name] = now

    def untold(self, now: float) -> str | None:
        """Return the peer that is due a heartbeat of this instance, if any."""
        if self._reader in self and now - self._told.get(self._reader, 0) >= ALIVE_S:
            return self._reader
        return None

    def listen(self, now: float, *, reading: bool) -> None:
        """Note whether this instance polls for all and is reached by enough peers; call it about every second."""
        reachable = sum(now - at <= HEARD_S for at in self._heard.values())
        if not reading or reachable < HEARING_SHARE * len(self._heard):
            self._deaf_at = now

    def lost(self, now: float) -> list[Lost]:
        """Return the failed peers, whose records are to be removed."""
        if now - self._deaf_at <= LOST_S:
            return []
        peers = (Lost(name, now - at) for name, at in self._heard.items())
        return [peer for peer in peers if peer.silent_s > LOST_S]


__all__ = ('ALIVE_S', 'LOST_S', 'Lost', 'Membership')
