"""Exchange of configurations between instances: version comparison, page and fetch.

The store may refuse some instances for seconds or, after it was restored from
an older copy, return an older configuration to an instance that has just
started. Such instances went on serving revoked keys and denied new ones. So an
instance that learns of a newer version fetches the configuration from the peer
that announced it. Keys are transferred as digests.
"""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.decoding import UndecodableError, decode_msgpack
from sesamepoint_core.serving.routes import Configuration
from sesamepoint import events
from sesamepoint.front.peering.peer_messages import VersionMessage
from sesamepoint.http1.client import MAX_LIST_BYTES, ClientConn
from sesamepoint.http1.documents import whole_payload
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError, RequestHead

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.serving.address import Address
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.store.topic_sync import TopicSync
    from sesamepoint.http1.messages import ReceivedBody, ResponseHead
    from sesamepoint.http1.transport import Network

CONFIGURATION_PATH = '/configuration'
STATUS_OK = 200
# Timeout of a fetch, in seconds: a configuration with 10,000 keys is 0.6 MB, and
# the link may carry only 10 Mbit/s.
FETCH_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
# Peers in the fetch queue; further peers would have no newer configuration.
MAX_QUEUED_PEERS = 4
# Each instance sends its version to one peer after a pause drawn from these ranges,
# in seconds: so an instance that has just started or missed a message learns of a
# newer version.
FIRST_COMPARE_RANGE_S = (0.2, 0.6)
COMPARE_RANGE_S = (5.0, 10.0)
# Number of comparisons after a start that follow each other faster: the first
# peer may have started just now as well.
FIRST_COMPARES = 3


class PeerConfiguration:
    """Serves the configuration in force to peers, and fetches newer ones from them."""

    def __init__(self, topic_sync: TopicSync, peers: Peers, network: Network, rng: Random) -> None:
        """Serve the configuration that ``topic_sync`` has in force, and pass newer ones of ``peers`` to it."""
        self._topic_sync = topic_sync
        self._peers = peers
        self._network = network
        self._rng = rng
        self._fetch_queue = trio.open_memory_channel[str](MAX_QUEUED_PEERS)

    def encode_page(self) -> bytes:
        """Encode the configuration in force for peers."""
        return msgspec.msgpack.encode(self._topic_sync.in_force)

    def available(self) -> bool:
        """Tell whether a configuration is in force."""
        return self._topic_sync.in_force is not None

    def request_from(self, peer: str) -> None:
        """Queue a fetch of a peer's configuration."""
        try:
            self._fetch_queue[0].send_nowait(peer)
        except trio.WouldBlock:
            # The queue is full; see its bound.
            return

    def on_version(self, message: VersionMessage) -> None:
        """Fetch from a peer that has a newer version; send the own version to one that has an older one."""
        own_version = self._version()
        if own_version < message.version:
            self.request_from(message.entry)
        elif own_version > message.version:
            self.compare_with(message.entry)

    async def compare_versions(self) -> None:
        """Send the version in force here to one random peer at a time, until cancelled."""
        for compared in count():
            span_s = FIRST_COMPARE_RANGE_S if compared < FIRST_COMPARES else COMPARE_RANGE_S
            await trio.sleep(self._rng.uniform(*span_s))
            self.compare_with_any()

    def compare_with_any(self) -> None:
        """Send the version in force here to one random peer, which answers if it has another one."""
        peers = self._peers.peer_names()
        if peers:
            self.compare_with(self._rng.choice(peers))

    async def fetch_queued(self) -> None:
        """Fetch from the queued peers, one after the other, until cancelled."""
        async for peer in self._fetch_queue[1]:
            address = self._peers.address_of(peer)
            if address is not None:
                await self._fetch(peer, address)

    def compare_with(self, peer: str) -> None:
        """Send the version in force here to a peer, which answers if it has another one."""
        self._peers.send_queue.enqueue(VersionMessage(self._peers.name, self._version()), peer)

    def _version(self) -> int:
        cfg = self._topic_sync.in_force
        return cfg.version if cfg else 0

    async def _fetch(self, peer: str, address: Address) -> None:
        try:
            with trio.fail_after(FETCH_TIMEOUT_S):
                cfg = await self._request_configuration(address)
        except (ConnectFailedError, ConnBrokenError, trio.TooSlowError) as exc:
            return events.log_event(events.PEER_CONFIGURATION_FAILED, peer=peer, cause=repr(exc))
        taken = self._topic_sync.intake.accepts(cfg, peer) and self._topic_sync.put_in_force(cfg)
        events.log_event(events.PEER_CONFIGURATION, peer=peer, version=cfg.version, taken=taken)

    async def _request_configuration(self, address: Address) -> Configuration:
        head = RequestHead(b'GET', CONFIGURATION_PATH.encode(), ((b'host', str(address).encode()),))
        conn = ClientConn(await self._network.connect(address, CONNECT_TIMEOUT_S))
        try:
            return _decode(*await conn.exchange(head, max_bytes=MAX_LIST_BYTES))
        finally:
            conn.close()


def _decode(reply: ResponseHead, body: ReceivedBody) -> Configuration:
    if reply.status != STATUS_OK:
        raise ConnBrokenError(f'status {reply.status}')
    try:
        return decode_msgpack(whole_payload(body), Configuration)
    except UndecodableError as exc:
        raise ConnBrokenError(str(exc)) from exc


__all__ = ('CONFIGURATION_PATH', 'PeerConfiguration')
