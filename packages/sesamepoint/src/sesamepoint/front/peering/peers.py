"""Messages between this instance and its peers: registration, broadcast, receipt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from sesamepoint_core.decoding import UndecodableError, decode_msgpack
from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.serving.address import Address
from sesamepoint import events
from sesamepoint.front.engines.engine_sends import SendUpdate
from sesamepoint.front.peering.membership import Membership
from sesamepoint.front.peering.message_types import PEER_MESSAGES, PeerMessage
from sesamepoint.front.peering.peer_messages import SuspectUpdate
from sesamepoint.platform.store import KeyedRecord
from sesamepoint.platform.wire_names import INSTANCE_TOPIC

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sesamepoint.front.engines.engine_sends import SendTracker
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.peering.peer_network import PeerNetwork
    from sesamepoint.front.quarantine.quarantine import Quarantine
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.front.store.topic_updates import TopicUpdate
    from sesamepoint.platform.store import StoreClient

_AnyMessage: Any = SendUpdate | PeerMessage
# Sends are batched for this long, in seconds, before they are broadcast. Long
# work waits for it.
BATCH_DELAY_S = 0.002
# Short work is broadcast within this time, in seconds, in one batch with
# everything else that is pending. Broadcasting it at once took ten datagrams
# per request and half of the processor.
FLUSH_INTERVAL_S = 0.05
# A stop waits for the store no longer than this, in seconds; a working store
# answers in milliseconds.
WITHDRAW_TIMEOUT_S = 0.3
# How often to check whether the instance that polls the list of instances is
# due a heartbeat, in seconds.
HEARTBEAT_CHECK_S = 1.0
# An instance that received nothing from any peer for this long, in seconds, may
# have been cut off or frozen, and may have missed updates. Under load messages
# arrive every 50 ms; without load, once in three seconds.
ISOLATION_S = 2.0


class Peers:
    """Known peers, their addresses, and the exchange of messages with them."""

    def __init__(
        self,
        cfg: FrontSettings,
        sends: SendTracker,
        quarantine: Quarantine,
        engine_subset: EngineSubset,
        network: PeerNetwork,
    ) -> None:
        """Start without peers; the subset of known engines decides which peers a send concerns."""
        self._engine_subset = engine_subset
        self._network = network
        self._cfg = cfg
        self._sends = sends
        self.members = Membership(cfg.name)
        self.registered = False
        # Addresses of the registered instances; this one is among them only if its record is on the list.
        self.addresses: dict[str, Address] = {}
        # Handlers of messages from peers, by message type.
        self.handlers: dict[type, Callable[[Any], None]] = {message_type: _ignore for message_type in PEER_MESSAGES}
        self.handlers[SuspectUpdate] = quarantine.on_suspect_update
        # Called with the name of a peer that has just registered.
        self.on_peer_joined: list[Callable[[str], None]] = [quarantine.announce_to]
        # Called on the first message after a time without any.
        self.on_reconnect: Callable[[], None] = _do_nothing
        self.name = cfg.name
        self.host = cfg.host
        self._received_at: float = 0
        self._quarantine = quarantine
        quarantine.part_suspects.peer_names = self.peer_names
        self.send_queue = quarantine.send_queue

    def count(self) -> int:
        """Return the number of registered instances, including this one."""
        return len(self.addresses.keys() | {self._cfg.name})

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace the list of instances by ``records``."""
        for name in self.addresses.keys() - {record.key for record in records}:
            self.update(KeyedRecord(name, b''))
        for record in records:
            self.update(record)

    def update(self, record: KeyedRecord) -> bool:
        """Apply the newest record of one instance; return whether its address changed."""
        old_address = self.addresses.pop(record.key, None)
        address = _decode_address(record)
        if address is None:
            self.members.leave(record.key)
            self._sends.backlog.forget_peer(record.key)
            return old_address is not None
        self.addresses[record.key] = address
        self.members.join(record.key, trio.current_time())
        if address != old_address and record.key in self.members:
            for callback in self.on_peer_joined:
                callback(record.key)
        return address != old_address

    async def register(self, store: StoreClient) -> bool:
        """Write the address on which this instance listens for peers to the store; return whether it answered."""
        own_address = str(self._cfg.peer_listen).encode()
        self.registered = await self._put_record(store, self._cfg.name, own_address)
        return self.registered

    async def withdraw(self, store: StoreClient) -> None:
        """Remove the record of this instance, unless the store is slow to answer.

        While the record stays, the peers count this instance in the split of
        the retry budget and send it messages, until they declare it dead.
        """
        self.registered = False
        with trio.move_on_after(WITHDRAW_TIMEOUT_S):
            await self._put_record(store, self._cfg.name, b'')

    async def drop_failed(self, store: StoreClient, *, polling: bool) -> None:
        """Remove the records of failed peers, if this instance polls the list of instances for all."""
        self.members.check_isolation(trio.current_time(), polling=polling)
        for failed in self.members.failed_peers(trio.current_time()):
            events.log_event(events.PEER_DECLARED_DEAD, entry=failed.name, silent_s=round(failed.silent_s, 1))
            if not await self._put_record(store, failed.name, b''):
                return

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the instance that polls the list, if nothing else was sent to it, until cancelled."""
        heartbeat = msgspec.msgpack.encode(SendUpdate(self._cfg.name, (), ()))
        while True:
            await trio.sleep(HEARTBEAT_CHECK_S)
            poller = self.members.heartbeat_due(trio.current_time())
            if poller is not None:
                await self._send(heartbeat, poller)

    async def listen(self) -> None:
        """Receive messages from peers until cancelled."""
        await self._network.receive(self._cfg.peer_listen, self.on_datagram)

    async def broadcast_sends(self) -> None:
        """Broadcast the sends of this instance until cancelled."""
        while True:
            await self._sends.pending.wait()
            with trio.move_on_after(FLUSH_INTERVAL_S):
                await self._sends.flush.wait()
            await trio.sleep(BATCH_DELAY_S)
            announced = self._sends.flushed
            await self._broadcast(self._sends.take_pending())
            announced.set()

    def on_datagram(self, datagram: bytes) -> None:
        """Decode one datagram and pass its message on; log and drop one that does not decode."""
        try:
            message: SendUpdate | PeerMessage = decode_msgpack(datagram, _AnyMessage)
        except UndecodableError as exc:
            events.log_event(events.DATAGRAM_UNREADABLE, cause=str(exc))
            return
        self._note_received(message.entry)
        try:
            self._dispatch(message)
        except Exception as exc:
            # An error here would end the task that receives the messages of all peers; until its restart they are lost.
            events.log_event(
                events.MESSAGE_NOT_HANDLED, entry=message.entry, kind=type(message).__name__, cause=repr(exc)
            )

    async def broadcast_update(self, topic_update: TopicUpdate) -> None:
        """Broadcast to all peers what this instance has read in the store."""
        await self.send_to(self.peer_names(), topic_update)

    def peer_names(self) -> list[str]:
        """Return the names of the peers."""
        return [name for name in self.addresses if name != self._cfg.name]

    def address_of(self, peer: str) -> Address | None:
        """Return the address on which a peer listens for its peers; None if it is not registered."""
        return self.addresses.get(peer)

    async def send_to(self, names: Sequence[str], message: PeerMessage) -> None:
        """Send a message to the peers called ``names``."""
        datagram = msgspec.msgpack.encode(message)
        for name in names:
            await self._send(datagram, name)

    async def send_queued(self) -> None:
        """Send the messages of the send queue, until cancelled."""
        while True:
            batch = await self._quarantine.send_queue.next_batch()
            for outgoing in batch:
                await self.send_to([outgoing.recipient] if outgoing.recipient else self.peer_names(), outgoing.message)

    def _note_received(self, sender: str) -> None:
        now = trio.current_time()
        self.members.note_received(sender, now)
        if now - self._received_at > ISOLATION_S:
            self.on_reconnect()
        self._received_at = now

    def _dispatch(self, message: SendUpdate | PeerMessage) -> None:
        if isinstance(message, SendUpdate):
            self._sends.on_peer_update(message)
        elif message.entry in self.members:
            self.handlers[type(message)](message)

    async def _broadcast(self, message: SendUpdate) -> None:
        unfiltered = msgspec.msgpack.encode(message)
        whole = self._engine_subset.covers_fleet
        for name in self.peer_names():
            datagram = unfiltered if whole else self._encode_for(name, message)
            if datagram:
                await self._send(datagram, name)

    def _encode_for(self, peer: str, message: SendUpdate) -> bytes:
        """Encode the sends and ends at engines that ``peer`` uses; return nothing if there are none.

        Without the filter each of 300 instances received about a thousand
        sends per second. The load of an engine matters only to the instances
        that use it.
        """
        sends = tuple(send for send in message.sends if self._engine_subset.contains_at(peer, send.runner))
        ends = tuple(end for end in message.ends if self._engine_subset.contains_at(peer, end.runner))
        return (
            msgspec.msgpack.encode(msgspec.structs.replace(message, sends=sends, ends=ends)) if sends or ends else b''
        )

    async def _put_record(self, store: StoreClient, name: str, text: bytes) -> bool:
        try:
            await store.put(INSTANCE_TOPIC, name, text)
        except PlatformUnavailableError as exc:
            events.log_event(events.REGISTRATION_FAILED, entry=name, cause=str(exc))
            return False
        return True

    async def _send(self, datagram: bytes, name: str) -> None:
        address = self.addresses.get(name)
        if address is None:
            # It was removed while the message was sent to other peers.
            return
        self.members.note_sent(name, trio.current_time())
        try:
            await self._network.send(datagram, address)
        except OSError as exc:
            events.log_event(events.PEER_UNREACHABLE, peer=str(address), cause=repr(exc))


def _decode_address(record: KeyedRecord) -> Address | None:
    if not record.text:
        return None
    try:
        return Address.parse(record.text.decode())
    except ValueError as exc:
        events.log_event(events.RECORD_UNREADABLE, cause=f'entry {record.key}: {exc}')
    return None


def _do_nothing() -> None:
    """Do nothing until the topics are followed."""


def _ignore(_: object) -> None:
    """Ignore messages that have no handler."""


__all__ = ('Peers',)
