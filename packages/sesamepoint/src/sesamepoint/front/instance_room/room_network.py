"""Network that counts its connections and the bytes that wait to be sent on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.instance_room.held_bytes import Holder, HolderKind
from sesamepoint.http1.messages import ConnectFailedError

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address
    from sesamepoint.front.instance_room.connection_room import ConnectionRoom
    from sesamepoint.front.instance_room.memory_room import MemoryRoom
    from sesamepoint.http1.transport import Network, Transport


class RoomNetwork:
    """Opens connections within the limits of the instance."""

    def __init__(self, network: Network, connections: ConnectionRoom, memory: MemoryRoom) -> None:
        """Open connections over ``network``."""
        self.sends = 0
        self._network = network
        self._connections = connections
        self._memory = memory

    async def connect(self, address: Address, timeout_s: float) -> Transport:
        """Open a connection within ``timeout_s``, or raise ``ConnectFailedError``."""
        if not self._connections.admit_outgoing():
            raise ConnectFailedError(str(address), 'too many open connections', local=True)
        self._connections.others += 1
        try:
            transport = await self._network.connect(address, timeout_s)
        except BaseException:
            self._connections.others -= 1
            raise
        return _CountedTransport(transport, self, Holder(HolderKind.runner, str(address)))

    def note_closed(self) -> None:
        """Count a closed connection."""
        self._connections.others -= 1

    def begin_send(self, holder: Holder, size: int) -> None:
        """Count bytes that wait to be sent."""
        self.sends += 1
        self._memory.held.add(holder, size)

    def end_send(self, holder: Holder, size: int) -> None:
        """Count bytes that were sent, or can't be sent any more."""
        self.sends -= 1
        self._memory.remove(holder, size)

    def queued_bytes(self) -> int:
        """Return the bytes that wait to be sent."""
        return self._memory.held.held_by_kind(HolderKind.runner)


class _CountedTransport:
    def __init__(self, transport: Transport, network: RoomNetwork, holder: Holder) -> None:
        self.peer = transport.peer
        # The hot methods are those of the transport itself, without a call between.
        self.send_now = transport.send_now
        self.receive_some = transport.receive_some
        self.is_idle = transport.is_idle
        self.peer_closed = transport.peer_closed
        self.unsent_bytes = transport.unsent_bytes
        self._transport = transport
        self._network = network
        self._holder = holder
        self._closed = False

    async def send_all(self, sent: bytes) -> None:
        self._network.begin_send(self._holder, len(sent))
        try:
            await self._transport.send_all(sent)
        finally:
            self._network.end_send(self._holder, len(sent))

    def close(self) -> None:
        self._note_closed()
        self._transport.close()

    def reset(self) -> None:
        self._note_closed()
        self._transport.reset()

    def _note_closed(self) -> None:
        if not self._closed:
            self._closed = True
            self._network.note_closed()


__all__ = ('RoomNetwork',)
