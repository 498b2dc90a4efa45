"""A proxy before one runner that can cut it off: bytes and ends of connections are held up until the cut heals."""

from __future__ import annotations

import asyncio

from standins import http

CHUNK_BYTES = 65536


class CutProxy:
    """Forwards connections to a runner; during a cut nothing passes in either direction."""

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream.split(':')
        self._whole = asyncio.Event()
        self._whole.set()

    def cut(self) -> None:
        self._whole.clear()

    def heal(self) -> None:
        self._whole.set()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._whole.wait()
        try:
            own_reader, own_writer = await asyncio.open_connection(*self._upstream)
        except OSError:
            # The runner does not listen.
            writer.transport.abort()
            return
        forth = asyncio.ensure_future(self._pass_on(reader, own_writer))
        back = asyncio.ensure_future(self._pass_on(own_reader, writer))
        await asyncio.wait((forth, back), return_when=asyncio.FIRST_COMPLETED)
        for task in (forth, back):
            task.cancel()
        own_writer.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass on bytes until the connection ends, and its end; a reset is passed on as a reset."""
        try:
            while received := await reader.read(CHUNK_BYTES):
                await self._whole.wait()
                writer.write(received)
                await writer.drain()
        except ConnectionError:
            await self._whole.wait()
            writer.transport.abort()
            return
        await self._whole.wait()
        writer.close()


async def start(upstream: str, host: str) -> tuple:
    """Start a proxy before ``upstream`` at a free port; return the proxy and its address."""
    proxy = CutProxy(upstream)
    server = await http.serve(proxy.handle, host)
    return proxy, http.address_of(server)
