"""Entries telling each other what they send to runners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.serving.address import Address
from sesamepoint import events
from sesamepoint.front.limit_words import AskWord, GrantWord
from sesamepoint.front.membership import Membership
from sesamepoint.front.news import News
from sesamepoint.front.notices import Notice, RunnerNote, VersionNote
from sesamepoint.front.sends import Word
from sesamepoint.front.usage_words import DutyWord, UsageWord
from sesamepoint.platform.names import ENTRY_TOPIC
from sesamepoint.platform.store import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sesamepoint.front.known_engines import KnownEngines
    from sesamepoint.front.peer_network import PeerNetwork
    from sesamepoint.front.quarantine import Quarantine
    from sesamepoint.front.sends import SendNotes
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.platform.store import StoreClient

# Sends are gathered for this long, in seconds, before peers are told: those of
# one moment go together. Long work waits for it.
GATHER_S = 0.002
# Short work is told within this time, with whatever else there is by then.
# Told at once, it took ten datagrams a request and half of the processor.
LAZY_S = 0.05
REGISTER_AGAIN_S = 1.0
# A stop waits for the store no longer than this, in seconds; when it answers,
# it does so in milliseconds.
WITHDRAW_S = 0.3
# How often it is looked whether the reader of the list has heard of this entry,
# in seconds.
LOOK_S = 1.0
# Who has heard no other entry for so long, in seconds, may have been cut off or
# frozen, and has missed what the others told meanwhile. Under load words come
# every 50 ms; without any, once in three seconds.
DEAF_S = 2.0


PeerWord = News | Notice | VersionNote | DutyWord | UsageWord | AskWord | GrantWord | RunnerNote


class Peers:
    """The other entries, and the exchange with them."""

    def __init__(
        self,
        cfg: FrontSettings,
        sends: SendNotes,
        quarantine: Quarantine,
        known: KnownEngines,
        network: PeerNetwork,
    ) -> None:
        """Know nobody yet; ``known`` tells whom a send concerns."""
        self._known = known
        self._network = network
        self._cfg = cfg
        self._sends = sends
        self.members = Membership(cfg.name)
        self.registered = False
        self._addresses: dict[str, Address] = {}
        # What to do with words of other entries, by their kind.
        self.on_word: dict[type, Callable[[Any], None]] = {
            kind: _pass_over for kind in (News, VersionNote, DutyWord, UsageWord, AskWord, GrantWord, RunnerNote)
        }
        # Called with the name of an entry that has just registered.
        self.on_newcomer: list[Callable[[str], None]] = [quarantine.tell_newcomer]
        # Called when others are heard again after a silence.
        self.hear_again: Callable[[], None] = _do_nothing
        self.name = cfg.name
        self._heard_at: float = 0
        self._quarantine = quarantine
        self.outbox = quarantine.outbox

    def count(self) -> int:
        """Return how many entries are registered, this one included."""
        return len(self._addresses.keys() | {self._cfg.name})

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take the whole list of entries."""
        for name in self._addresses.keys() - {record.key for record in records}:
            self.update(KeyedRecord(name, b''))
        for record in records:
            self.update(record)

    def update(self, record: KeyedRecord) -> bool:
        """Take the newest word on one entry; returns whether it is another one."""
        before = self._addresses.pop(record.key, None)
        address = _address(record)
        if address is None:
            self.members.leave(record.key)
            self._sends.backlog.forget(record.key)
            return before is not None
        self._addresses[record.key] = address
        self.members.join(record.key, trio.current_time())
        if address != before and record.key in self.members:
            for tell in self.on_newcomer:
                tell(record.key)
        return address != before

    async def register(self, store: StoreClient) -> None:
        """Tell the other entries, by the store, where this one listens."""
        own = str(self._cfg.peer_listen).encode()
        while not await self._put(store, self._cfg.name, own):
            await trio.sleep(REGISTER_AGAIN_S)
        self.registered = True

    async def withdraw(self, store: StoreClient) -> None:
        """Take the record of this entry back, as far as the store answers soon.

        Without that the others share the retry budget with it, and send it
        words, until they miss it.
        """
        self.registered = False
        with trio.move_on_after(WITHDRAW_S):
            await self._put(store, self._cfg.name, b'')

    async def drop_lost(self, store: StoreClient, *, reading: bool) -> None:
        """Drop the records of entries that nothing is heard of any more, while this entry is ``reading`` the list."""
        self.members.listen(trio.current_time(), reading=reading)
        for lost in self.members.lost(trio.current_time()):
            events.log_event(events.ENTRY_LOST, entry=lost.name, silent_s=round(lost.silent_s, 1))
            if not await self._put(store, lost.name, b''):
                return

    async def keep_alive(self) -> None:
        """Let the reader of the list hear of this entry if nothing else was told, until cancelled."""
        nothing = msgspec.msgpack.encode(Word(self._cfg.name, (), ()))
        while True:
            await trio.sleep(LOOK_S)
            reader = self.members.untold(trio.current_time())
            if reader is not None:
                await self._tell(nothing, reader)

    async def listen(self) -> None:
        """Take in peers' words until cancelled."""
        await self._network.receive(self._cfg.peer_listen, self.take)

    async def tell(self) -> None:
        """Tell peers of this entry's sends until cancelled."""
        while True:
            await self._sends.fresh.wait()
            with trio.move_on_after(LAZY_S):
                await self._sends.urgent.wait()
            await trio.sleep(GATHER_S)
            told = self._sends.told
            await self._tell_all(self._sends.drain())
            told.set()

    def take(self, datagram: bytes) -> None:
        """Take in one datagram; one that no entry of ours sends is logged and dropped."""
        try:
            word = msgspec.msgpack.decode(datagram, type=Word | PeerWord)
        except msgspec.DecodeError as exc:
            events.log_event(events.DATAGRAM_UNREADABLE, cause=str(exc))
            return
        self._note_heard(word.entry)
        if isinstance(word, Word):
            self._sends.heard(word)
        elif word.entry in self.members:
            self._take_from_member(word)

    async def tell_news(self, news: News) -> None:
        """Tell all other entries what this one has read in the store."""
        await self.tell_to(self.others(), news)

    def others(self) -> list[str]:
        """Return the names of the other entries."""
        return [name for name in self._addresses if name != self._cfg.name]

    def address_of(self, entry: str) -> Address | None:
        """Return where ``entry`` listens for its peers; None if it is not registered."""
        return self._addresses.get(entry)

    async def tell_to(self, names: Sequence[str], word: PeerWord) -> None:
        """Tell some entries something."""
        datagram = msgspec.msgpack.encode(word)
        for name in names:
            await self._tell(datagram, name)

    async def tell_notices(self) -> None:
        """Tell other entries of requests that may end runners, until cancelled."""
        while True:
            letters = await self._quarantine.outbox.next_letters()
            for letter in letters:
                await self.tell_to([letter.to] if letter.to else self.others(), letter.word)

    def _note_heard(self, entry: str) -> None:
        now = trio.current_time()
        self.members.heard(entry, now)
        if now - self._heard_at > DEAF_S:
            self.hear_again()
        self._heard_at = now

    def _take_from_member(self, word: PeerWord) -> None:
        if isinstance(word, Notice):
            self._quarantine.heard(word)
        else:
            self.on_word[type(word)](word)

    async def _tell_all(self, word: Word) -> None:
        everything = msgspec.msgpack.encode(word)
        whole = self._known.whole
        for name in self.others():
            datagram = everything if whole else self._concerning(name, word)
            if datagram:
                await self._tell(datagram, name)

    def _concerning(self, peer: str, word: Word) -> bytes:
        """Return the part of ``word`` that concerns ``peer``, if any.

        Told all of each other's sends, 300 entries took in some thousand a
        second each; an engine's load matters only to those that know it.
        """
        sends = tuple(send for send in word.sends if self._known.at(peer, send.runner))
        ends = tuple(end for end in word.ends if self._known.at(peer, end.runner))
        return msgspec.msgpack.encode(msgspec.structs.replace(word, sends=sends, ends=ends)) if sends or ends else b''

    async def _put(self, store: StoreClient, name: str, text: bytes) -> bool:
        try:
            await store.put(ENTRY_TOPIC, name, text)
        except PlatformUnavailableError as exc:
            events.log_event(events.REGISTER_FAILED, entry=name, cause=str(exc))
            return False
        return True

    async def _tell(self, datagram: bytes, name: str) -> None:
        address = self._addresses.get(name)
        if address is None:
            # It has left while others were told.
            return
        self.members.told(name, trio.current_time())
        try:
            await self._network.send(datagram, address)
        except OSError as exc:
            events.log_event(events.PEER_UNREACHABLE, peer=str(address), cause=repr(exc))


def _address(record: KeyedRecord) -> Address | None:
    if not record.text:
        return None
    try:
        return Address.parse(record.text.decode())
    except ValueError as exc:
        events.log_event(events.RECORD_UNREADABLE, cause=f'entry {record.key}: {exc}')
    return None


def _do_nothing() -> None:
    """Do nothing: topics are not followed yet."""


def _pass_over(_: object) -> None:
    """Do nothing: nobody takes such words yet, or at all."""


__all__ = ('Peers',)
