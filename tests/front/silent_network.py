"""A network that is slow to connect, and whose far ends note what they get and answer nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address

# From the choice of a runner to its connection, in seconds.
CONNECT_S = 0.05


class SilentTransport:
    """Notes what is sent, and answers nothing."""

    peer = ''

    def __init__(self) -> None:
        self.sent = b''

    async def send_all(self, sent: bytes) -> None:
        """Note what is sent."""
        self.sent += sent
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int) -> bytes:
        """Answer nothing."""
        return await trio.sleep_forever()

    def close(self) -> None:
        """Close nothing."""

    def quiet(self) -> bool:
        """Tell that it may be used."""
        return True

    def ended(self) -> bool:
        """Tell that it is open."""
        return False


class SlowNetwork:
    """Takes its time to connect."""

    def __init__(self) -> None:
        self.transport = SilentTransport()

    async def connect(self, address: Address, timeout_s: float) -> SilentTransport:
        """Return a connection after a while."""
        await trio.sleep(CONNECT_S)
        return self.transport


__all__ = ('CONNECT_S', 'SilentTransport', 'SlowNetwork')
