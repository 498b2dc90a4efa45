"""A network with slow connects, whose peers record what they receive and never answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address

# Time to connect, in seconds: a send is checked this long after its runner was chosen.
CONNECT_DELAY_S = 0.05


class SilentTransport:
    """Transport that records what is sent and never receives anything."""

    peer = ''

    def __init__(self) -> None:
        self.sent = b''

    async def send_all(self, sent: bytes) -> None:
        """Record ``sent``."""
        self.sent += sent
        await trio.lowlevel.checkpoint()

    def send_now(self, sent: bytes) -> int:
        self.sent += sent
        return len(sent)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Block until cancelled."""
        return await trio.sleep_forever()

    def close(self) -> None:
        """Do nothing."""

    def reset(self) -> None:
        """Do nothing."""

    def unsent_bytes(self) -> int:
        """Return 0: all bytes are gone."""
        return 0

    def is_idle(self) -> bool:
        """Return True: the connection may be used."""
        return True

    def peer_closed(self) -> bool:
        """Return False: the connection is open."""
        return False


class SlowNetwork:
    """Network that connects every address to one silent transport, after a delay."""

    def __init__(self) -> None:
        self.transport = SilentTransport()

    async def connect(self, address: Address, timeout_s: float) -> SilentTransport:
        """Return the transport after the connect delay."""
        await trio.sleep(CONNECT_DELAY_S)
        return self.transport


__all__ = ('CONNECT_DELAY_S', 'SilentTransport', 'SlowNetwork')
