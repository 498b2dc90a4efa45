"""Entries telling each other what they send to runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.serving.address import Address
from sesamepoint import events
from sesamepoint.front.news import News
from sesamepoint.front.sends import Word
from sesamepoint.platform.names import ENTRY_TOPIC

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.known_engines import KnownEngines
    from sesamepoint.front.peer_network import PeerNetwork
    from sesamepoint.front.sends import SendNotes
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.platform.store import KeyedRecord, StoreClient

# Sends are gathered for this long, in seconds, before peers are told: short
# against the work they stand for (tens of ms), long against a datagram.
GATHER_S = 0.005
# Short work is told within this time, with whatever else there is by then.
# Told at once, it took ten datagrams a request and half of the processor.
LAZY_S = 0.05
REGISTER_AGAIN_S = 1.0


class Peers:
    """The other entries, and the exchange with them."""

    def __init__(self, cfg: FrontSettings, sends: SendNotes, known: KnownEngines, network: PeerNetwork) -> None:
        """Know nobody yet; ``known`` tells whom a send concerns."""
        self._known = known
        self._network = network
        self._cfg = cfg
        self._sends = sends
        self._addresses: dict[str, Address] = {}
        # Called with what other entries have read in the store.
        self.hear_news: Callable[[News], None] = _pass_over

    def count(self) -> int:
        """Return how many entries are registered, this one included."""
        return len(self._addresses.keys() | {self._cfg.name})

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take the whole list of entries."""
        self._addresses.clear()
        for record in records:
            self.update(record)

    def update(self, record: KeyedRecord) -> bool:
        """Take the newest word on one entry; returns whether it is another one."""
        before = self._addresses.pop(record.key, None)
        if not record.text:
            return before is not None
        try:
            self._addresses[record.key] = Address.parse(record.text.decode())
        except ValueError as exc:
            events.log_event(events.RECORD_UNREADABLE, cause=f'entry {record.key}: {exc}')
        return self._addresses.get(record.key) != before

    async def register(self, store: StoreClient) -> None:
        """Tell the other entries, by the store, where this one listens."""
        own = str(Address(self._cfg.host, self._cfg.peer_port)).encode()
        while True:
            try:
                return await store.put(ENTRY_TOPIC, self._cfg.name, own)
            except PlatformUnavailableError as exc:
                events.log_event(events.REGISTER_FAILED, cause=str(exc))
            await trio.sleep(REGISTER_AGAIN_S)

    async def listen(self) -> None:
        """Take in peers' words until cancelled."""
        await self._network.receive(Address(self._cfg.host, self._cfg.peer_port), self.take)

    async def tell(self) -> None:
        """Tell peers of this entry's sends until cancelled."""
        while True:
            await self._sends.fresh.wait()
            with trio.move_on_after(LAZY_S):
                await self._sends.urgent.wait()
            await trio.sleep(GATHER_S)
            await self._tell_all(self._sends.drain())

    def take(self, datagram: bytes) -> None:
        """Take in one datagram; one that no entry of ours sends is logged and dropped."""
        try:
            word = msgspec.msgpack.decode(datagram, type=Word | News)
        except msgspec.DecodeError as exc:
            events.log_event(events.DATAGRAM_UNREADABLE, cause=str(exc))
            return
        if isinstance(word, Word):
            self._sends.heard(word)
        elif word.entry in self._addresses:
            self.hear_news(word)

    async def tell_news(self, news: News) -> None:
        """Tell all other entries what this one has read in the store."""
        datagram = msgspec.msgpack.encode(news)
        for address in self._others():
            await self._tell(datagram, address)

    def _others(self) -> list[Address]:
        return [address for name, address in self._addresses.items() if name != self._cfg.name]

    async def _tell_all(self, word: Word) -> None:
        everything = msgspec.msgpack.encode(word)
        whole = self._known.whole
        for name, address in tuple(self._addresses.items()):
            if name == self._cfg.name:
                continue
            datagram = everything if whole else self._concerning(name, word)
            if datagram:
                await self._tell(datagram, address)

    def _concerning(self, peer: str, word: Word) -> bytes:
        """Return the part of ``word`` that concerns ``peer``, if any.

        Told all of each other's sends, 300 entries took in some thousand a
        second each; an engine's load matters only to those that know it.
        """
        sends = tuple(send for send in word.sends if self._known.at(peer, send.runner))
        ends = tuple(end for end in word.ends if self._known.at(peer, end.runner))
        return msgspec.msgpack.encode(msgspec.structs.replace(word, sends=sends, ends=ends)) if sends or ends else b''

    async def _tell(self, datagram: bytes, address: Address) -> None:
        try:
            await self._network.send(datagram, address)
        except OSError as exc:
            events.log_event(events.PEER_UNREACHABLE, peer=str(address), cause=repr(exc))


def _pass_over(_: News) -> None:
    """Do nothing: topics are not followed yet."""


__all__ = ('Peers',)
