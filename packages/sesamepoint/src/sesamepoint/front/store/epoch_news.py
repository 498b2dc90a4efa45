"""News that the store was restored, for all topics of this instance and for its peers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.store.outage_messages import StoreProbe

if TYPE_CHECKING:
    from collections.abc import Callable

    ReadAnew = Callable[[int, float], None]

# Instances that learn of a restored store from a peer read their topics within this time for each instance, in
# seconds: all of them together make no more than 1,000 calls a second for four topics.
SPREAD_PER_INSTANCE_S = 0.004
OWN_CALL = 'own call'


class EpochNews:
    """Has all topics read anew as soon as this instance or a peer knows that the store was restored.

    Each topic of each instance would otherwise learn of it by a poll of its own, seconds apart, and go on by offsets
    that mean other records now. An epoch that a peer names only makes this instance ask the store, whose
    response decides.
    """

    def __init__(self, name: str, instance_count: Callable[[], int], announce: Callable[[StoreProbe], None]) -> None:
        """Announce restores for the instance ``name`` by ``announce``, which sends a message to all peers."""
        # Called with a newer epoch, and with the time in seconds within which to read the topic; by topic.
        self.read_anew: dict[str, ReadAnew] = {}
        # Longest time from the news of the latest restore until a topic was read, in seconds.
        self.slowest_read_s: float = 0
        self._name = name
        self._instance_count = instance_count
        self._announce = announce
        # The epoch that was announced or received last, and when.
        self._latest_epoch = 0
        self._latest_at = math.inf

    def note_response(self, epoch: int) -> None:
        """Note that a response to this instance is of a newer epoch."""
        if epoch != self._latest_epoch:
            self._announce(StoreProbe(self._name, epoch=epoch))
        self._spread(epoch, OWN_CALL, 0)

    def on_probe(self, message: StoreProbe) -> None:
        """Handle the epoch that a peer names; 0 if it names none."""
        if message.epoch and message.epoch != self._latest_epoch:
            self._spread(message.epoch, message.entry, SPREAD_PER_INSTANCE_S * self._instance_count())

    def note_read(self, topic: str, epoch: int) -> None:
        """Note that a topic was read at an epoch that is new for it."""
        after_s = max(trio.current_time() - self._latest_at, 0)
        if epoch == self._latest_epoch:
            self.slowest_read_s = max(self.slowest_read_s, after_s)
        events.log_event(events.TOPIC_READ_ANEW, topic=topic, era=epoch, after_s=round(after_s, 3))

    def _spread(self, epoch: int, source: str, within_s: float) -> None:
        if epoch != self._latest_epoch:
            events.log_event(events.RESTORE_KNOWN, era=epoch, source=source, within_s=round(within_s, 3))
            self._latest_epoch = epoch
            self._latest_at = trio.current_time()
            self.slowest_read_s = 0
        for read_anew in self.read_anew.values():
            read_anew(epoch, within_s)


__all__ = ('EpochNews',)
