"""A proxy that can hold up all bytes, as a partition does, and delivers them once that has healed."""

import asyncio


class Proxy:
    """Forwards connections of one address to another one."""

    def __init__(self, host, port):
        """Forward to this address."""
        self._target = (host, port)
        self._healed = asyncio.Event()
        self._healed.set()

    async def start(self, host):
        """Listen at a free port, and return it."""
        server = await asyncio.start_server(self._serve, host, 0)
        return server.sockets[0].getsockname()[1]

    def cut(self):
        self._healed.clear()

    def heal(self):
        self._healed.set()

    async def _serve(self, reader, writer):
        await self._healed.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            # The far end refuses connections.
            writer.transport.abort()
            return
        await asyncio.gather(self._forward(reader, far_writer), self._forward(far_reader, writer))

    async def _forward(self, reader, writer):
        """Forward one direction; its orderly end and a reset are passed on as such."""
        try:
            while True:
                received = await reader.read(65536)
                await self._healed.wait()
                if not received:
                    writer.close()
                    return
                writer.write(received)
                await writer.drain()
        except ConnectionError:
            await self._healed.wait()
            writer.transport.abort()
