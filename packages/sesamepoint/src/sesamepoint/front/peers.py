"""Messages between this instance and its peers: registration, broadcast, receipt."""

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

# Sends are batched for this long, in seconds, before they are broadcast. Long
# work waits for it.
GATHER_S = 0.002
# Short work is broadcast within this time, in seconds, in one batch with
# everything else that is pending. Broadcasting it at once took ten datagrams
# per request and half of the processor.
LAZY_S = 0.05
# Pause before a failed registration is repeated, in seconds.
REGISTER_AGAIN_S = 1.0
# A stop waits for the store no longer than this, in seconds; a working store
# answers in milliseconds.
WITHDRAW_S = 0.3
# How often to check whether the instance that polls the list of instances is
# due a heartbeat, in seconds.
LOOK_S = 1.0
# An instance that received nothing from any peer for this long, in seconds, may
# have been cut off or frozen, and may have missed updates. Under load messages
# arrive every 50 ms; without load, once in three seconds.
DEAF_S = 2.0


PeerWord = News | Notice | VersionNote | DutyWord | UsageWord | AskWord | GrantWord | RunnerNote


class Peers:
    """Known peers, their addresses, and the exchange of messages with them."""

    def __init__(
        self,
        cfg: FrontSettings,
        sends: SendNotes,
        quarantine: Quarantine,
        known: KnownEngines,
        network: PeerNetwork,
    ) -> None:
        """Start without peers; the subset of known engines decides which peers a send concerns."""
        self._known = known
        self._network = network
        self._cfg = cfg
        self._sends = sends
        self.members = Membership(cfg.name)
        self.registered = False
        self._addresses: dict[str, Address] = {}
        # Handlers of messages from peers, by message type.
        self.on_word: dict[type, Callable[[Any], None]] = {
            kind: _pass_over for kind in (News, VersionNote, DutyWord, UsageWord, AskWord, GrantWord, RunnerNote)
        }
        # Called with the name of a peer that has just registered.
        self.on_newcomer: list[Callable[[str], None]] = [quarantine.tell_newcomer]
        # Called on the first message after a time without any.
        self.hear_again: Callable[[], None] = _do_nothing
        self.name = cfg.name
        self._heard_at: float = 0
        self._quarantine = quarantine
        self.outbox = quarantine.outbox

    def count(self) -> int:
        """Return the number of registered instances, including this one."""
        return len(self._addresses.keys() | {self._cfg.name})

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace the list of instances by ``records``."""
        for name in self._addresses.keys() - {record.key for record in records}:
            self.update(KeyedRecord(name, b''))
        for record in records:
            self.update(record)

    def update(self, record: KeyedRecord) -> bool:
        """Apply the newest record of one instance; return whether its address changed."""
        old_address = self._addresses.pop(record.key, None)
        address = _address(record)
        if address is None:
            self.members.leave(record.key)
            self._sends.backlog.forget(record.key)
            return old_address is not None
        self._addresses[record.key] = address
        self.members.join(record.key, trio.current_time())
        if address != old_address and record.key in self.members:
            for callback in self.on_newcomer:
                callback(record.key)
        return address != old_address

    async def register(self, store: StoreClient) -> None:
        """Write the address on which this instance listens for peers to the store."""
        own_address = str(self._cfg.peer_listen).encode()
        while not await self._put(store, self._cfg.name, own_address):
            await trio.sleep(REGISTER_AGAIN_S)
        self.registered = True

    async def withdraw(self, store: StoreClient) -> None:
        """Remove the record of this instance, unless the store is slow to answer.

        While the record stays, the peers count this instance in the split of
        the retry budget and send it messages, until they declare it dead.
        """
        self.registered = False
        with trio.move_on_after(WITHDRAW_S):
            await self._put(store, self._cfg.name, b'')

    async def drop_lost(self, store: StoreClient, *, reading: bool) -> None:
        """Remove the records of failed peers, if this instance polls the list of instances for all."""
        self.members.listen(trio.current_time(), reading=reading)
        for failed in self.members.lost(trio.current_time()):
            events.log_event(events.ENTRY_LOST, entry=failed.name, silent_s=round(failed.silent_s, 1))
            if not await self._put(store, failed.name, b''):
                return

    async def keep_alive(self) -> None:
        """Send heartbeats to the instance that polls the list, if nothing else was sent to it, until cancelled."""
        heartbeat = msgspec.msgpack.encode(Word(self._cfg.name, (), ()))
        while True:
            await trio.sleep(LOOK_S)
            poller = self.members.untold(trio.current_time())
            if poller is not None:
                await self._tell(heartbeat, poller)

    async def listen(self) -> None:
        """Receive messages from peers until cancelled."""
        await self._network.receive(self._cfg.peer_listen, self.take)

    async def tell(self) -> None:
        """Broadcast the sends of this instance until cancelled."""
        while True:
            await self._sends.fresh.wait()
            with trio.move_on_after(LAZY_S):
                await self._sends.urgent.wait()
            await trio.sleep(GATHER_S)
            announced = self._sends.told
            await self._tell_all(self._sends.drain())
            announced.set()

    def take(self, datagram: bytes) -> None:
        """Decode one datagram and pass its message on; log and drop one that does not decode."""
        try:
            message = msgspec.msgpack.decode(datagram, type=Word | PeerWord)
        except msgspec.DecodeError as exc:
            events.log_event(events.DATAGRAM_UNREADABLE, cause=str(exc))
            return
        self._note_heard(message.entry)
        if isinstance(message, Word):
            self._sends.heard(message)
        elif message.entry in self.members:
            self._take_from_member(message)

    async def tell_news(self, news: News) -> None:
        """Broadcast to all peers what this instance has read in the store."""
        await self.tell_to(self.others(), news)

    def others(self) -> list[str]:
        """Return the names of the peers."""
        return [name for name in self._addresses if name != self._cfg.name]

    def address_of(self, entry: str) -> Address | None:
        """Return the address on which a peer listens for its peers; None if it is not registered."""
        return self._addresses.get(entry)

    async def tell_to(self, names: Sequence[str], word: PeerWord) -> None:
        """Send a message to the peers called ``names``."""
        datagram = msgspec.msgpack.encode(word)
        for name in names:
            await self._tell(datagram, name)

    async def tell_notices(self) -> None:
        """Send the messages of the send queue, until cancelled."""
        while True:
            batch = await self._quarantine.outbox.next_letters()
            for outgoing in batch:
                await self.tell_to([outgoing.to] if outgoing.to else self.others(), outgoing.word)

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
        unfiltered = msgspec.msgpack.encode(word)
        whole = self._known.whole
        for name in self.others():
            datagram = unfiltered if whole else self._concerning(name, word)
            if datagram:
                await self._tell(datagram, name)

    def _concerning(self, peer: str, word: Word) -> bytes:
        """Encode the sends and ends at engines that ``peer`` uses; return nothing if there are none.

        Without the filter each of 300 instances received about a thousand
        sends per second. The load of an engine matters only to the instances
        that use it.
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
            # It was removed while the message was sent to other peers.
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
    """Do nothing until the topics are followed."""


def _pass_over(_: object) -> None:
    """Ignore messages that have no handler."""


__all__ = ('Peers',)
