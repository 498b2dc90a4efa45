"""Datagrams between instances: the network protocol and its socket implementation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.address import Address

    from sesamepoint.http1.link_pacing import LinkPacer

DATAGRAM_BYTES = 65536
# Ethernet, IP and UDP headers of a datagram, which count on the link as well.
PACKET_HEADER_BYTES = 42


class PeerNetwork(Protocol):
    """Sends and receives datagrams; they may get lost."""

    async def receive(self, address: Address, on_datagram: Callable[[bytes], None]) -> None:
        """Call the callback with each datagram that arrives at ``address``, until cancelled."""

    async def send(self, datagram: bytes, address: Address) -> None:
        """Send one datagram.

        Raises
        ------
        OSError
            If the datagram can't be sent.
        """


class SocketPeerNetwork:
    """Datagrams over one UDP socket; datagrams sent before it is bound are dropped."""

    def __init__(self, pacer: LinkPacer) -> None:
        """Create an unbound network; ``pacer`` keeps broadcasts from filling the link."""
        self._pacer = pacer
        self._sock: trio.socket.SocketType | None = None

    async def receive(self, address: Address, on_datagram: Callable[[bytes], None]) -> None:
        """Call the callback with each datagram that arrives at ``address``, until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
            await sock.bind(address)
            self._sock = sock
            while True:
                on_datagram(await sock.recv(DATAGRAM_BYTES))

    async def send(self, datagram: bytes, address: Address) -> None:
        """Send one datagram, at the rate that the pacer allows.

        Raises
        ------
        OSError
            If the datagram can't be sent.
        """
        if self._sock is not None:
            await self._pacer.wait_to_send(len(datagram) + PACKET_HEADER_BYTES)
            await self._sock.sendto(datagram, address)


__all__ = ('PeerNetwork', 'SocketPeerNetwork')
