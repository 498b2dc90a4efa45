"""Datagrams between entries, over sockets or stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.address import Address

    from sesamepoint.http1.pacing import LinkPacer

DATAGRAM_BYTES = 65536
# Headers of a datagram on the link.
PACKET_BYTES = 42


class PeerNetwork(Protocol):
    """Sends and receives datagrams; they may get lost."""

    async def receive(self, address: Address, take: Callable[[bytes], None]) -> None:
        """Hand each datagram that comes to ``address`` to ``take``, until cancelled."""

    async def send(self, datagram: bytes, address: Address) -> None:
        """Send one datagram, or raise an ``OSError``."""


class SocketPeerNetwork:
    """Datagrams over one socket; nothing is sent before it is bound."""

    def __init__(self, pacer: LinkPacer) -> None:
        """Bind nothing yet; ``pacer`` keeps a word to all from filling the link."""
        self._pacer = pacer
        self._sock: trio.socket.SocketType | None = None

    async def receive(self, address: Address, take: Callable[[bytes], None]) -> None:
        """Hand each datagram that comes to ``address`` to ``take``, until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
            await sock.bind(address)
            self._sock = sock
            while True:
                take(await sock.recv(DATAGRAM_BYTES))

    async def send(self, datagram: bytes, address: Address) -> None:
        """Send one datagram, or raise an ``OSError``."""
        if self._sock is not None:
            await self._pacer.take(len(datagram) + PACKET_BYTES)
            await self._sock.sendto(datagram, address)


__all__ = ('PeerNetwork', 'SocketPeerNetwork')
