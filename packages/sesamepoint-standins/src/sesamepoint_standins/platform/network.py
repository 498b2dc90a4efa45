"""A network in memory: delays, cuts, resets, lost datagrams."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.http1.messages import ConnectFailedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[['MemoryTransport'], Awaitable[None]]

ONE_WAY_S = 0.001
# A link's queue takes what it carries in this time, in seconds.
FULL_S = 0.02
KEPT_DATAGRAMS = 10_000
_END = None


class _Packet(NamedTuple):
    at: float
    carried: bytes | None


class Pipe:
    """One direction of a connection."""

    def __init__(self) -> None:
        """Start empty and open."""
        self.reset = False
        self._packets: deque[_Packet] = deque()
        self._news = trio.Event()

    def put(self, carried: bytes | None, delay_s: float) -> None:
        """Let ``carried`` arrive after ``delay_s``; None is the end."""
        self._packets.append(_Packet(trio.current_time() + delay_s, carried))
        self._news.set()

    def arrived(self) -> bool:
        """Tell whether something has arrived."""
        return self.reset or bool(self._packets and self._packets[0].at <= trio.current_time())

    def ended(self) -> bool:
        """Tell whether the end is all that has arrived."""
        return self.reset or (self.arrived() and self._packets[0].carried is _END)

    def break_off(self) -> None:
        """Reset the connection."""
        self.reset = True
        self._news.set()

    async def take(self) -> bytes:
        """Return the next bytes; empty at the end.

        Raises
        ------
        trio.BrokenResourceError
            If the connection was reset.
        """
        await trio.lowlevel.checkpoint()
        while not self._packets and not self.reset:
            self._news = trio.Event()
            await self._news.wait()
        if self.reset:
            raise trio.BrokenResourceError
        await trio.sleep_until(self._packets[0].at)
        carried = self._packets[0].carried
        if carried is _END:
            return b''
        self._packets.popleft()
        return carried


class MemoryTransport:
    """One end of a connection."""

    def __init__(self, network: MemoryNetwork, hosts: tuple[str, str], pipes: tuple[Pipe, Pipe]) -> None:
        """Send from the first of ``hosts`` on the first of ``pipes``."""
        self.peer = hosts[1]
        self.hosts = hosts
        self._network = network
        self._sending = pipes[0]
        self._receiving = pipes[1]
        self._closed = False

    async def send_all(self, sent: bytes) -> None:
        """Send all bytes."""
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        if self._sending.reset:
            raise trio.BrokenResourceError
        if sent:
            self._sending.put(
                sent, self._network.delay_s(*self.hosts) + self._network.queue_s(self.hosts[0], len(sent))
            )

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return some bytes; empty at the end."""
        if self._closed:
            raise trio.ClosedResourceError
        return await self._receiving.take()

    def close(self) -> None:
        """Close at once."""
        if not self._closed:
            self._sending.put(_END, self._network.delay_s(*self.hosts))
        self._closed = True

    def reset(self) -> None:
        """Break the connection for both ends."""
        self._sending.break_off()
        self._receiving.break_off()

    def over(self) -> bool:
        """Tell whether this end is closed, or the connection was reset."""
        return self._closed or self._sending.reset

    def quiet(self) -> bool:
        """Tell whether the connection is open and has no bytes waiting."""
        return not self._closed and not self._receiving.arrived()

    def ended(self) -> bool:
        """Tell whether the far end has closed and left nothing to read."""
        return self._closed or self._receiving.ended()


class MemoryNetwork:
    """All listeners, connections and datagrams of a bed."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Run the listeners' connections in ``nursery``."""
        self.cut: set[frozenset[str]] = set()
        self.datagrams_lost = False
        # How long a connection takes to come about.
        self.connect_s = 2 * ONE_WAY_S
        # The newest datagrams, for tests of what peers get to know.
        self.datagrams: deque[bytes] = deque(maxlen=KEPT_DATAGRAMS)
        # Bytes a second that the links of some hosts carry; others' carry all.
        self.links: dict[str, float] = {}
        self._busy_until: dict[str, float] = {}
        self._nursery = nursery
        self._listeners: dict[Address, Handler] = {}
        self._receivers: dict[Address, Callable[[bytes], None]] = {}
        self._open: list[MemoryTransport] = []

    def listen(self, address: Address, handler: Handler) -> None:
        """Start ``handler`` for each connection to ``address``."""
        self._listeners[address] = handler

    def close(self, address: Address) -> None:
        """Stop listening at ``address``."""
        self._listeners.pop(address, None)

    def reset_all(self, host: str, far: str = '') -> None:
        """Reset all connections of ``host`` whose far end's address begins with ``far``."""
        for transport in self._open:
            ends = transport.hosts
            other = ends[1] if ends[0] == host else ends[0]
            if host in ends and other.startswith(far):
                transport.reset()

    def delay_s(self, source: str, target: str) -> float:
        """Return how long a packet takes; for ever over a cut."""
        return math.inf if frozenset((source, target)) in self.cut else ONE_WAY_S

    def queue_s(self, host: str, size: int) -> float:
        """Put ``size`` bytes into the queue of a host's link; returns how long they take."""
        rate = self.links.get(host)
        if rate is None:
            return 0
        now = trio.current_time()
        self._busy_until[host] = max(self._busy_until.get(host, 0), now) + size / rate
        return self._busy_until[host] - now

    def link_full(self, host: str) -> bool:
        """Tell whether a datagram finds the queue of a host's link full."""
        return self._busy_until.get(host, 0) - trio.current_time() > FULL_S

    def seen_from(self, host: str) -> HostNetwork:
        """Return the network as ``host`` has it."""
        return HostNetwork(self, host)

    async def connect(self, host: str, address: Address, timeout_s: float) -> MemoryTransport:
        """Connect from ``host``, or raise a ``ConnectFailedError``."""
        handler = self._listeners.get(address)  # noqa: WPS110
        if math.isinf(self.delay_s(host, address.host)):
            await trio.sleep(timeout_s)
            raise ConnectFailedError(str(address), 'timed out')
        await trio.sleep(self.connect_s)
        if handler is None:
            raise ConnectFailedError(str(address), 'refused', refused=True)
        there, back = Pipe(), Pipe()
        far = MemoryTransport(self, (address.host, host), (back, there))
        self._nursery.start_soon(handler, far)
        near = MemoryTransport(self, (host, address.host), (there, back))
        self._open = [transport for transport in self._open if not transport.over()]
        self._open.append(near)
        return near

    async def receive(self, address: Address, take: Callable[[bytes], None]) -> None:
        """Hand each datagram that comes to ``address`` to ``take``."""
        self._receivers[address] = take
        try:
            await trio.sleep_forever()
        finally:
            self._receivers.pop(address, None)

    def send_datagram(self, host: str, datagram: bytes, address: Address) -> None:
        """Deliver ``datagram`` a moment later, if nothing is in its way."""
        take = self._receivers.get(address)
        if self.link_full(host):
            return
        self.datagrams.append(datagram)
        self.queue_s(host, len(datagram))
        if take is not None and not self.datagrams_lost and not math.isinf(self.delay_s(host, address.host)):
            self._nursery.start_soon(_deliver, take, datagram)


class HostNetwork:
    """The network as one host has it: connections and datagrams."""

    def __init__(self, network: MemoryNetwork, host: str) -> None:
        """Send from ``host``."""
        self._network = network
        self._host = host

    async def connect(self, address: Address, timeout_s: float) -> MemoryTransport:
        """Connect, or raise a ``ConnectFailedError``."""
        return await self._network.connect(self._host, Address(*address), timeout_s)

    async def receive(self, address: Address, take: Callable[[bytes], None]) -> None:
        """Hand each datagram that comes to ``address`` to ``take``."""
        await self._network.receive(address, take)

    async def send(self, datagram: bytes, address: Address) -> None:
        """Send one datagram."""
        await trio.lowlevel.checkpoint()
        self._network.send_datagram(self._host, datagram, address)


async def _deliver(take: Callable[[bytes], None], datagram: bytes) -> None:
    await trio.sleep(ONE_WAY_S)
    take(datagram)


__all__ = ('ONE_WAY_S', 'HostNetwork', 'MemoryNetwork', 'MemoryTransport')
