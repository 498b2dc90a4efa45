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
HEARTBEAT_S = 3.0
# An instance is declared dead after this many seconds without any message: six
# lost heartbeats, or a freeze of that length. Shorter freezes and network cuts
# have no consequence.
FAILURE_TIMEOUT_S = 20.0
# Only the polling instance may declare a peer dead, and only if it was reached by
# this share of the peers during all of that time: an instance that is reached by
# few is more likely cut off itself, and when it is connected again, it receives
# from one peer after the other.
REACHABLE_SHARE = 0.5
# A peer counts as reachable if it sent a message within this time, in seconds:
# three heartbeats.
REACHABLE_S = 3 * HEARTBEAT_S


class FailedPeer(NamedTuple):
    """A peer from which nothing was received for ``silent_s`` seconds."""

    name: str
    silent_s: float


class Membership:
    """Tracks peers and decides which have failed; does no input or output."""

    def __init__(self, name: str) -> None:
        """Start without peers at the instance called ``name``."""
        self._name = name
        self._received_at: dict[str, float] = {}
        self._sent_at: dict[str, float] = {}
        self._isolated_at: float = 0
        self._poller = ''

    def __contains__(self, name: object) -> bool:
        """Tell whether ``name`` is a registered peer."""
        return name in self._received_at

    def join(self, name: str, now: float) -> None:
        """Note that ``name`` has registered; this counts as a heartbeat."""
        if name != self._name:
            self._received_at[name] = now

    def leave(self, name: str) -> None:
        """Note that the record of ``name`` was removed."""
        self._received_at.pop(name, None)
        self._sent_at.pop(name, None)

    def note_poller(self, name: str) -> None:
        """Note that ``name`` polls the list of instances for all."""
        self._poller = name

    def note_received(self, name: str, now: float) -> None:
        """Note a message from ``name``; ignored if it is not registered."""
        if name in self:
            self._received_at[name] = now

    def active_within(self, span_s: float, now: float) -> list[str]:
        """Return the peers that sent a message within the last ``span_s`` seconds."""
        return [name for name, at in self._received_at.items() if now - at <= span_s]

    def note_sent(self, name: str, now: float) -> None:
        """Note that a message was sent to ``name``."""
        self._sent_at[name] = now

    def heartbeat_due(self, now: float) -> str | None:
        """Return the peer that is due a heartbeat of this instance, if any."""
        if self._poller in self and now - self._sent_at.get(self._poller, 0) >= HEARTBEAT_S:
            return self._poller
        return None

    def check_isolation(self, now: float, *, polling: bool) -> None:
        """Note whether this instance polls for all and is reached by enough peers; call it about every second."""
        reachable = sum(now - at <= REACHABLE_S for at in self._received_at.values())
        if not polling or reachable < REACHABLE_SHARE * len(self._received_at):
            self._isolated_at = now

    def failed_peers(self, now: float) -> list[FailedPeer]:
        """Return the failed peers, whose records are to be removed."""
        if now - self._isolated_at <= FAILURE_TIMEOUT_S:
            return []
        peers = (FailedPeer(name, now - at) for name, at in self._received_at.items())
        return [peer for peer in peers if peer.silent_s > FAILURE_TIMEOUT_S]


__all__ = ('FAILURE_TIMEOUT_S', 'HEARTBEAT_S', 'FailedPeer', 'Membership')
