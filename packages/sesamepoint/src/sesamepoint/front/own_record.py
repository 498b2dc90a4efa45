"""This entry's record in the list of entries, and those of entries that are lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.peers import Peers
    from sesamepoint.platform.store import KeyedRecord, StoreClient

# How often lost entries are looked for, in seconds.
LOOK_S = 1.0


class OwnRecord:
    """Keeps the list of entries true: this one is on it, the lost ones are not."""

    def __init__(self, name: str, peers: Peers, new_client: Callable[[], StoreClient]) -> None:
        """Keep the record of the entry called ``name``."""
        self._name = name
        self._peers = peers
        self._new_client = new_client
        self._dropped = trio.Event()

    async def stay_registered(self) -> None:
        """Register this entry, and again if its record is dropped, until cancelled.

        The others drop the record of one that they do not hear for long, and a
        store that comes back from an older copy may lack it.
        """
        client = self._new_client()
        while True:
            self._dropped = trio.Event()
            await self._peers.register(client)
            await self._dropped.wait()

    async def withdraw(self) -> None:
        """Take the record of this entry back: it is about to stop."""
        await self._peers.withdraw(self._new_client())

    async def drop_lost(self, reads_list: Callable[[], bool]) -> None:
        """Have the records of lost entries dropped, while this one ``reads_list`` for all, until cancelled."""
        client = self._new_client()
        while True:
            await trio.sleep(LOOK_S)
            await self._peers.drop_lost(client, reading=reads_list())

    def check(self, records: tuple[KeyedRecord, ...]) -> None:
        """Register again if a whole list lacks this entry."""
        if all(record.key != self._name for record in records):
            self._note_dropped()

    def heard(self, record: KeyedRecord) -> None:
        """Register again if a record drops this entry."""
        if record.key == self._name and not record.text:
            self._note_dropped()

    def _note_dropped(self) -> None:
        """Register again, unless this entry has not yet or no more."""
        if self._peers.registered:
            self._peers.registered = False
            events.log_event(events.ENTRY_DROPPED)
            self._dropped.set()


__all__ = ('OwnRecord',)
