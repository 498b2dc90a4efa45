"""In-memory network with delays, cut links, resets and lost datagrams."""

from __future__ import annotations

import math
from collections import deque
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.http1.messages import ConnectFailedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[['MemoryTransport'], Awaitable[None]]

ONE_WAY_DELAY_S = 0.001
# Capacity of a link's queue, as the time that the link needs to send it.
MAX_QUEUE_S = 0.02
MAX_RECORDED_DATAGRAMS = 10_000
_END = None


class _Packet(NamedTuple):
    arrives_at: float
    payload: bytes | None


class Pipe:
    """One direction of a connection."""

    def __init__(self) -> None:
        """Start without packets."""
        self.reset = False
        self._packets: deque[_Packet] = deque()
        self._packet_added = trio.Event()
        self._unread = 0
        self._taken = trio.Event()

    def room(self, window: float) -> float:
        """Return how many bytes more the receiver's window of ``window`` bytes takes."""
        return max(window - self._unread, 0)

    async def wait_until_taken(self) -> None:
        """Wait until the receiver takes bytes, or a reset."""
        if not self.reset:
            await self._taken.wait()

    @property
    def unread(self) -> int:
        """Return the number of bytes that the receiver has not taken."""
        return self._unread

    def put(self, payload: bytes | None, delay_s: float) -> None:
        """Queue a packet that arrives after ``delay_s``; None marks the end."""
        self._unread += len(payload or b'')
        self._packets.append(_Packet(trio.current_time() + delay_s, payload))
        self._packet_added.set()

    def has_arrived(self) -> bool:
        """Return whether a packet or a reset has arrived."""
        return self.reset or bool(self._packets and self._packets[0].arrives_at <= trio.current_time())

    def has_ended(self) -> bool:
        """Return whether the end has arrived with no bytes before it, or a reset."""
        return self.reset or (self.has_arrived() and self._packets[0].payload is _END)

    def break_connection(self) -> None:
        """Reset this direction of the connection."""
        self.reset = True
        self._packet_added.set()
        self._taken.set()

    async def receive(self) -> bytes:
        """Return the next bytes, or empty bytes at the end.

        Raises
        ------
        trio.BrokenResourceError
            If the connection was reset.
        """
        await trio.lowlevel.checkpoint()
        while not self._packets and not self.reset:
            self._packet_added = trio.Event()
            await self._packet_added.wait()
        if self.reset:
            raise trio.BrokenResourceError
        await trio.sleep_until(self._packets[0].arrives_at)
        carried = self._packets[0].payload
        if carried is _END:
            return b''
        self._packets.popleft()
        self._unread -= len(carried)
        self._taken.set()
        self._taken = trio.Event()
        return carried


class MemoryTransport:
    """Endpoint of a connection."""

    def __init__(self, network: MemoryNetwork, hosts: tuple[str, str], pipes: tuple[Pipe, Pipe]) -> None:
        """Create the endpoint at the first of ``hosts``, which sends on the first of ``pipes``."""
        self.peer = hosts[1]
        self.hosts = hosts
        self._network = network
        self._sending = pipes[0]
        self._receiving = pipes[1]
        self._closed = False

    async def send_all(self, sent: bytes) -> None:
        """Send all bytes."""
        await trio.lowlevel.checkpoint()
        self._check_open()
        rest = sent[self.send_now(sent) :]
        while rest:
            await self._sending.wait_until_taken()
            self._check_open()
            rest = rest[self.send_now(rest) :]

    def send_now(self, sent: bytes) -> int:
        """Send what fits into the window of the far end and return its size."""
        if self.is_closed():
            return 0
        window = self._network.windows.get(self.hosts[1], math.inf)
        size = int(min(self._sending.room(window), len(sent)))
        if size:
            delay_s = self._network.delay_s(*self.hosts) + self._network.enqueue(self.hosts[0], size)
            self._sending.put(sent[:size], delay_s)
        return size

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return some bytes, or empty bytes at the end."""
        if self._closed:
            raise trio.ClosedResourceError
        return await self._receiving.receive()

    def close(self) -> None:
        """Close this endpoint."""
        if not self._closed:
            self._sending.put(_END, self._network.delay_s(*self.hosts))
        self._closed = True

    def end_by_peer(self) -> None:
        """Let this endpoint read the end of the connection; what the far end sends later is lost."""
        self._receiving.put(_END, self._network.delay_s(*self.hosts))

    def reset(self) -> None:
        """Reset the connection for both endpoints."""
        self._sending.break_connection()
        self._receiving.break_connection()

    def unsent_bytes(self) -> int:
        """Return the number of bytes that the far end has not taken."""
        return 0 if self.is_closed() else self._sending.unread

    def is_closed(self) -> bool:
        """Return whether this endpoint is closed or the connection was reset."""
        return self._closed or self._sending.reset

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no bytes to read."""
        return not self._closed and not self._receiving.has_arrived()

    def peer_closed(self) -> bool:
        """Return whether the connection is closed and has no bytes to read."""
        return self._closed or self._receiving.has_ended()

    def _check_open(self) -> None:
        if self._closed:
            raise trio.ClosedResourceError
        if self._sending.reset:
            raise trio.BrokenResourceError


class MemoryNetwork:
    """Network of a test bench: listeners, connections and datagrams."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Run the handlers of connections in ``nursery``."""
        self.cut_pairs: set[frozenset[str]] = set()
        self.drops_datagrams = False
        # Share of the datagrams that are lost.
        self.datagram_loss: float = 0
        self._loss_rng = Random(1)
        # Time to establish a connection, in seconds.
        self.connect_delay_s = 2 * ONE_WAY_DELAY_S
        # The newest datagrams, for tests of the messages between peers.
        self.recent_datagrams: deque[bytes] = deque(maxlen=MAX_RECORDED_DATAGRAMS)
        # Bandwidth of the links of some hosts, in bytes/s; other links are unlimited.
        self.link_rates: dict[str, float] = {}
        # Bytes that a connection to some hosts takes before its reader has read them; unlimited for others.
        self.windows: dict[str, int] = {}
        self._link_busy_until: dict[str, float] = {}
        self._nursery = nursery
        self._listeners: dict[Address, Handler] = {}
        self._receivers: dict[Address, Callable[[bytes], None]] = {}
        self._open_transports: list[MemoryTransport] = []

    def listen(self, address: Address, handler: Handler) -> None:
        """Start ``handler`` for each connection to ``address``."""
        self._listeners[address] = handler

    def close(self, address: Address) -> None:
        """Stop listening at ``address``."""
        self._listeners.pop(address, None)

    def reset_all(self, host: str, peer_prefix: str = '') -> None:
        """Reset all connections of ``host`` whose peer's address starts with ``peer_prefix``."""
        for transport in self._open_transports:
            hosts = transport.hosts
            other = hosts[1] if hosts[0] == host else hosts[0]
            if host in hosts and other.startswith(peer_prefix):
                transport.reset()

    def close_all(self, host: str) -> None:
        """Close all connections to ``host`` in order, as the system does for a process that crashes."""
        for transport in self._open_transports:
            if transport.hosts[1] == host:
                transport.end_by_peer()

    def delay_s(self, source: str, target: str) -> float:
        """Return the delay of a packet in seconds, infinite between hosts that are cut off."""
        return math.inf if frozenset((source, target)) in self.cut_pairs else ONE_WAY_DELAY_S

    def enqueue(self, host: str, size: int) -> float:
        """Queue ``size`` bytes on a host's link; return the time until they are sent, in seconds."""
        rate = self.link_rates.get(host)
        if rate is None:
            return 0
        now = trio.current_time()
        self._link_busy_until[host] = max(self._link_busy_until.get(host, 0), now) + size / rate
        return self._link_busy_until[host] - now

    def is_link_full(self, host: str) -> bool:
        """Return whether the queue of a host's link is full for datagrams."""
        return self._link_busy_until.get(host, 0) - trio.current_time() > MAX_QUEUE_S

    def for_host(self, host: str) -> HostNetwork:
        """Return the network interface of ``host``."""
        return HostNetwork(self, host)

    async def connect(self, host: str, address: Address, timeout_s: float) -> MemoryTransport:
        """Connect from ``host``, or raise a ``ConnectFailedError``."""
        handler = self._listeners.get(address)  # noqa: WPS110
        if math.isinf(self.delay_s(host, address.host)):
            await trio.sleep(timeout_s)
            raise ConnectFailedError(str(address), 'timed out')
        await trio.sleep(self.connect_delay_s)
        if handler is None:
            raise ConnectFailedError(str(address), 'refused', refused=True)
        to_server, to_client = Pipe(), Pipe()
        server = MemoryTransport(self, (address.host, host), (to_client, to_server))
        self._nursery.start_soon(handler, server)
        client = MemoryTransport(self, (host, address.host), (to_server, to_client))
        self._open_transports = [transport for transport in self._open_transports if not transport.is_closed()]
        self._open_transports.append(client)
        return client

    async def receive(self, address: Address, on_datagram: Callable[[bytes], None]) -> None:
        """Call ``on_datagram`` with each datagram received at ``address``, until cancelled."""
        self._receivers[address] = on_datagram
        try:
            await trio.sleep_forever()
        finally:
            self._receivers.pop(address, None)

    def send_datagram(self, host: str, datagram: bytes, address: Address) -> None:
        """Deliver ``datagram`` after the delay, unless a fault or a full queue drops it."""
        receiver = self._receivers.get(address)
        if self.is_link_full(host):
            return
        self.recent_datagrams.append(datagram)
        self.enqueue(host, len(datagram))
        if self.drops_datagrams or self._loss_rng.random() < self.datagram_loss:
            return
        if receiver is not None and not math.isinf(self.delay_s(host, address.host)):
            self._nursery.start_soon(_deliver, receiver, datagram)


class HostNetwork:
    """Network interface of one host, for connections and datagrams."""

    def __init__(self, network: MemoryNetwork, host: str) -> None:
        """Create the interface of ``host``."""
        self._network = network
        self._host = host

    async def connect(self, address: Address, timeout_s: float) -> MemoryTransport:
        """Connect, or raise a ``ConnectFailedError``."""
        return await self._network.connect(self._host, Address(*address), timeout_s)

    async def receive(self, address: Address, on_datagram: Callable[[bytes], None]) -> None:
        """Call ``on_datagram`` with each datagram received at ``address``, until cancelled."""
        await self._network.receive(address, on_datagram)

    async def send(self, datagram: bytes, address: Address) -> None:
        """Send one datagram."""
        await trio.lowlevel.checkpoint()
        self._network.send_datagram(self._host, datagram, address)


async def _deliver(on_datagram: Callable[[bytes], None], datagram: bytes) -> None:
    await trio.sleep(ONE_WAY_DELAY_S)
    on_datagram(datagram)


__all__ = ('ONE_WAY_DELAY_S', 'HostNetwork', 'MemoryNetwork', 'MemoryTransport')
