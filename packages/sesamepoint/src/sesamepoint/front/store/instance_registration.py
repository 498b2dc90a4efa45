"""Registration of this instance in the list of instances, and removal of failed peers from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.store_pacing.backoff import Backoff, RetryLimits
from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.store.store_pacer import PacedStore
    from sesamepoint.platform.store import KeyedRecord

# How often to check for failed peers, in seconds.
FAILURE_CHECK_S = 1.0
# Pauses before a failed registration is repeated, in seconds. Peers send no updates
# to an instance that is not registered, and it has no share of the retry budget's
# reserve.
FIRST_RETRY_S = 1.0
LONGEST_RETRY_S = 3.0


class InstanceRegistration:
    """Keeps this instance on the list of instances, and removes failed peers from it."""

    def __init__(self, name: str, peers: Peers, new_store: Callable[[], PacedStore], rng: Random) -> None:
        """Keep the record of the instance called ``name``."""
        self._name = name
        self._peers = peers
        self._new_store = new_store
        self._rng = rng
        self._dropped = trio.Event()

    async def stay_registered(self) -> None:
        """Register this instance, and again whenever its record is removed, until cancelled.

        Peers remove the record of an instance that they declare dead, and a
        store that was restored from an older copy may lack it.
        """
        store = self._new_store()
        while True:
            self._dropped = trio.Event()
            backoff = Backoff(RetryLimits(FIRST_RETRY_S, LONGEST_RETRY_S), self._rng)
            while not await self._peers.register(store.client):
                await store.pacer.wait_to_retry(backoff)
            await self._dropped.wait()

    async def withdraw(self) -> None:
        """Remove the record of this instance, which is about to stop."""
        await self._peers.withdraw(self._new_store().client)

    async def drop_failed(self, polls_list: Callable[[], bool]) -> None:
        """Remove the records of failed peers while this instance polls the list for all, until cancelled."""
        client = self._new_store().client
        while True:
            await trio.sleep(FAILURE_CHECK_S)
            await self._peers.drop_failed(client, polling=polls_list())

    def check_list(self, records: tuple[KeyedRecord, ...]) -> None:
        """Register again if the whole list lacks this instance."""
        if all(record.key != self._name for record in records):
            self._note_dropped()

    def check_record(self, record: KeyedRecord) -> None:
        """Register again if ``record`` removes this instance."""
        if record.key == self._name and not record.text:
            self._note_dropped()

    def _note_dropped(self) -> None:
        """Start to register again, unless this instance is not registered anyway."""
        if self._peers.registered:
            self._peers.registered = False
            events.log_event(events.OWN_RECORD_DROPPED)
            self._dropped.set()


__all__ = ('InstanceRegistration',)
