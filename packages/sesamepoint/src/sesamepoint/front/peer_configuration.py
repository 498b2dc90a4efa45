"""Getting a newer configuration from another entry.

The store may refuse some entries for seconds, or show an older configuration
to one that has just started, after it came back from a copy. Keys that were taken
went on being served there, and new ones were denied. An entry that hears of a
newer version asks who told of it. Keys go over as digests.
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
# A whole configuration, over a link of 10 Mbit a second, in seconds: of 10,000
# keys it is 0.6 MB.
FETCH_S = 1.5
CONNECT_S = 0.5
# Entries to ask that wait; whoever comes after them knows no more.
MAX_WAITING = 4
# Each entry tells one other its version after so many seconds, drawn from this
# span: whoever has started or missed a word learns of a newer one.
FIRST_COMPARE_SPAN_S = (0.2, 0.6)
COMPARE_SPAN_S = (5.0, 10.0)
# The first comparisons follow each other sooner: a newcomer's first peer may be
# as new.
FIRST_COMPARES = 3


class PeerConfiguration:
    """Serves the configuration in force, and asks others for theirs."""

    def __init__(self, intake: Intake, peers: Peers, network: Network, rng: Random) -> None:
        """Serve what ``intake`` has put in force; let it take what is newer at ``peers``."""
        self._intake = intake
        self._peers = peers
        self._network = network
        self._rng = rng
        self._wanted = trio.open_memory_channel[str](MAX_WAITING)

    def page(self) -> bytes:
        """Return the configuration in force as entries give it to each other."""
        return msgspec.msgpack.encode(self._intake.in_force)

    def there(self) -> bool:
        """Tell whether there is one to give."""
        return self._intake.in_force is not None

    def ask(self, entry: str) -> None:
        """Have ``entry`` asked for its configuration soon."""
        try:
            self._wanted[0].send_nowait(entry)
        except trio.WouldBlock:
            # Four are about to be asked.
            return

    def heard(self, note: VersionNote) -> None:
        """Ask an entry that has a newer version, and tell one that has an older one."""
        own = self._version()
        if own < note.version:
            self.ask(note.entry)
        elif own > note.version:
            self._tell(note.entry)

    async def compare(self) -> None:
        """Tell one other entry after the other which version is in force here, until cancelled."""
        for compared in count():
            span_s = FIRST_COMPARE_SPAN_S if compared < FIRST_COMPARES else COMPARE_SPAN_S
            await trio.sleep(self._rng.uniform(*span_s))
            others = self._peers.others()
            if others:
                self._tell(self._rng.choice(others))

    async def run(self) -> None:
        """Ask, one after the other, until cancelled."""
        async for entry in self._wanted[1]:
            address = self._peers.address_of(entry)
            if address is not None:
                await self._fetch(entry, address)

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
