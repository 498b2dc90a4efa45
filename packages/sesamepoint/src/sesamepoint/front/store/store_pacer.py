"""Pacing of failed calls to the store, shared by all callers of the store in one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from sesamepoint_core.store_pacing.backoff import RetryLimits
from sesamepoint_core.store_pacing.outage import StoreOutage
from sesamepoint import events
from sesamepoint.front.store.epoch_news import EpochNews
from sesamepoint.front.store.outage_messages import StoreProbe

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sesamepoint_core.serving.address import Address
    from sesamepoint_core.store_pacing.backoff import Backoff
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.platform.store import StoreClient

# Longest interval between two probes of a store that is down, as a share of the
# shortest time within which a change must be known: leaves time for the call, the
# update of the peers and a second probe that the store refuses.
PROBE_INTERVAL_SHARE = 0.25
FIRST_PROBE_INTERVAL_S = 0.2


class StorePacer:
    """Decides when callers of the store repeat failed calls, and tells them when it answers again."""

    def __init__(
        self, name: str, outage: StoreOutage, instance_count: Callable[[], int], announce: Callable[[StoreProbe], None]
    ) -> None:
        """Pace the instance ``name``; ``announce`` sends a message to all peers."""
        # Called when the store answers this instance again, by topic.
        self.on_answered_again: dict[str, Callable[[], None]] = {}
        self.news = EpochNews(name, instance_count, announce)
        self._name = name
        self._address: Address | None = None
        self._outage = outage
        self._instance_count = instance_count
        self._announce = announce
        self._failing = False
        self._down = False
        self._recovered = trio.Event()

    @classmethod
    def from_config(
        cls,
        cfg: FrontSettings,
        instance_count: Callable[[], int],
        announce: Callable[[StoreProbe], None],
        rng: Random,
    ) -> StorePacer:
        """Build the pacer of one instance from its settings."""
        pacer = cls(cfg.name, StoreOutage(cfg.name, _probe_intervals(cfg), rng), instance_count, announce)
        pacer._address = cfg.store.address  # noqa: SLF001
        return pacer

    def reconfigure(self, cfg: FrontSettings) -> None:
        """Apply changed settings; what is known of an outage is about the store at its address of before."""
        self._outage.intervals = _probe_intervals(cfg)
        if self._address != cfg.store.address:
            self._address = cfg.store.address
            self._failing = False
            self._outage.reset()
            self._log_change()

    def join(self, handlers: dict[type, Callable[[Any], None]]) -> None:
        """Handle the announcements of peers."""
        handlers[StoreProbe] = self.on_probe

    def is_down(self) -> bool:
        """Return whether the store counts as down for all instances."""
        return self._outage.is_down(self._instance_count())

    def not_before(self) -> float:
        """Return the time before which instances that hold a state do not call the store."""
        return self._outage.probe_at

    def affected_instances(self, began_at: float) -> int:
        """Return how many instances the cause of a failed call, begun at ``began_at``, may affect.

        If the store answers others, the answer was lost or this instance is refused.
        """
        return 1 if self._outage.answered_since(began_at) else self._instance_count()

    def begin_call(self) -> None:
        """Note that a caller that holds a state is about to call; announce it if the store is down."""
        if self.is_down():
            self._outage.begin_probe(trio.current_time(), self._instance_count())
            self._announce(StoreProbe(self._name))

    def note_failed(self, began_at: float) -> None:
        """Note that a call of this instance, begun at ``began_at``, has failed."""
        self._failing = self._failing or not self._outage.answered_since(began_at)
        if self._outage.note_failed(began_at, trio.current_time(), self._instance_count()):
            self._announce(StoreProbe(self._name))
        self._log_change()

    def note_answered(self) -> None:
        """Note that the store answered this instance."""
        was_down = self.is_down()
        was_failing = self._failing or was_down
        self._failing = False
        self._outage.note_answered(trio.current_time())
        self._log_change()
        if was_down:
            # The answer itself is sent to the peers only by an instance that polls for all.
            self._announce(StoreProbe(self._name, answered=True))
        if was_failing:
            for callback in self.on_answered_again.values():
                callback()

    def note_peer_answered(self) -> None:
        """Note an update of a peer, which the store has answered."""
        self._outage.note_peer_answered(trio.current_time())
        self._log_change()

    def on_probe(self, message: StoreProbe) -> None:
        """Handle the announcement of a peer, whatever address it reaches the store by."""
        self.news.on_probe(message)
        if message.answered:
            return self.note_peer_answered()
        if message.epoch:
            # The store may have refused the call that showed it.
            return None
        self._outage.note_announced(message.entry, trio.current_time(), self._instance_count())
        self._log_change()

    async def wait_to_retry(self, backoff: Backoff) -> None:
        """Wait before a write or read outside the followed topics is repeated.

        The wait ends early if an outage of the store ends.
        """
        pause_s = backoff.next_pause_s(self._instance_count())
        # The number of instances may have changed, and with it whether the store counts as down.
        self._log_change()
        if not self.is_down():
            return await trio.sleep(pause_s)
        with trio.move_on_after(pause_s):
            await self._recovered.wait()

    def _log_change(self) -> None:
        down = self.is_down()
        if down == self._down:
            return
        self._down = down
        instances = self._instance_count()
        if down:
            self._recovered = trio.Event()
            state = self._outage.state(instances)
            events.log_event(events.STORE_DOWN, instances=instances, **state._asdict())
        else:
            self._recovered.set()
            events.log_event(events.STORE_UP, instances=instances)


def _probe_intervals(cfg: FrontSettings) -> RetryLimits:
    longest_s = PROBE_INTERVAL_SHARE * min(cfg.config_s, cfg.drain_s)
    return RetryLimits(min(FIRST_PROBE_INTERVAL_S, longest_s), longest_s)


class PacedStore(NamedTuple):
    """A client of the store, and the pacer of its failed calls."""

    client: StoreClient
    pacer: StorePacer

    @classmethod
    def open(cls, new_client: Callable[[], StoreClient], pacer: StorePacer) -> PacedStore:
        """Return the store with a client of its own."""
        return cls(new_client(), pacer)


__all__ = ('PacedStore', 'StorePacer')
