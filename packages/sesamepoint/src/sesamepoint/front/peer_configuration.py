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

from sesamepoint_core.serving.routes import Configuration
from sesamepoint import events
from sesamepoint.front.notices import VersionNote
from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError, RequestHead

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.serving.address import Address
    from sesamepoint.front.intake import Intake
    from sesamepoint.front.peers import Peers
    from sesamepoint.http1.messages import ResponseHead
    from sesamepoint.http1.transport import Network

CONFIGURATION_PATH = '/configuration'
STATUS_OK = 200
# Timeout of a fetch, in seconds: a configuration with 10,000 keys is 0.6 MB, and
# the link may carry only 10 Mbit/s.
FETCH_S = 1.5
CONNECT_S = 0.5
# Peers in the fetch queue; further peers would have no newer configuration.
MAX_WAITING = 4
# Each instance sends its version to one peer after a pause drawn from these ranges,
# in seconds: so an instance that has just started or missed a message learns of a
# newer version.
FIRST_COMPARE_SPAN_S = (0.2, 0.6)
COMPARE_SPAN_S = (5.0, 10.0)
# Number of comparisons after a start that follow each other faster: the first
# peer may have started just now as well.
FIRST_COMPARES = 3


class PeerConfiguration:
    """Serves the configuration in force to peers, and fetches newer ones from them."""

    def __init__(self, intake: Intake, peers: Peers, network: Network, rng: Random) -> None:
        """Serve the configuration that ``intake`` has in force, and pass newer ones of ``peers`` to it."""
        self._intake = intake
        self._peers = peers
        self._network = network
        self._rng = rng
        self._wanted = trio.open_memory_channel[str](MAX_WAITING)

    def page(self) -> bytes:
        """Encode the configuration in force for peers."""
        return msgspec.msgpack.encode(self._intake.in_force)

    def there(self) -> bool:
        """Tell whether a configuration is in force."""
        return self._intake.in_force is not None

    def ask(self, entry: str) -> None:
        """Queue a fetch of a peer's configuration."""
        try:
            self._wanted[0].send_nowait(entry)
        except trio.WouldBlock:
            # The queue is full; see its bound.
            return

    def heard(self, note: VersionNote) -> None:
        """Fetch from a peer that has a newer version; send the own version to one that has an older one."""
        own_version = self._version()
        if own_version < note.version:
            self.ask(note.entry)
        elif own_version > note.version:
            self._tell(note.entry)

    async def compare(self) -> None:
        """Send the version in force here to one random peer at a time, until cancelled."""
        for compared in count():
            span_s = FIRST_COMPARE_SPAN_S if compared < FIRST_COMPARES else COMPARE_SPAN_S
            await trio.sleep(self._rng.uniform(*span_s))
            peers = self._peers.others()
            if peers:
                self._tell(self._rng.choice(peers))

    async def run(self) -> None:
        """Fetch from the queued peers, one after the other, until cancelled."""
        async for peer in self._wanted[1]:
            address = self._peers.address_of(peer)
            if address is not None:
                await self._fetch(peer, address)

    def _version(self) -> int:
        cfg = self._intake.in_force
        return cfg.version if cfg else 0

    def _tell(self, entry: str) -> None:
        self._peers.outbox.tell(VersionNote(self._peers.name, self._version()), entry)

    async def _fetch(self, entry: str, address: Address) -> None:
        try:
            with trio.fail_after(FETCH_S):
                cfg = await self._exchange(address)
        except (ConnectFailedError, ConnBrokenError, trio.TooSlowError) as exc:
            return events.log_event(events.PEER_CONFIGURATION_FAILED, peer=entry, cause=repr(exc))
        taken = self._intake.put_in_force(cfg)
        events.log_event(events.PEER_CONFIGURATION, peer=entry, version=cfg.version, taken=taken)

    async def _exchange(self, address: Address) -> Configuration:
        head = RequestHead(b'GET', CONFIGURATION_PATH.encode(), ((b'host', str(address).encode()),))
        conn = ClientConn(await self._network.connect(address, CONNECT_S))
        try:
            return _decode(*await conn.ask(head))
        finally:
            conn.close()


def _decode(reply: ResponseHead, body: bytes) -> Configuration:
    if reply.status != STATUS_OK:
        raise ConnBrokenError(f'status {reply.status}')
    try:
        return msgspec.msgpack.decode(body, type=Configuration)
    except msgspec.DecodeError as exc:
        raise ConnBrokenError(str(exc)) from exc


__all__ = ('CONFIGURATION_PATH', 'PeerConfiguration')
