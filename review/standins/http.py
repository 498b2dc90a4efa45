"""Minimal HTTP/1.1 messages over asyncio streams, for servers and clients of the cases."""

from __future__ import annotations

import asyncio
from typing import Awaitable, Callable, NamedTuple, Optional
from urllib.parse import parse_qsl

REASONS = {200: 'OK', 410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected Request', 503: 'Service Unavailable'}


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict:
        return dict(parse_qsl(self.target.partition('?')[2]))


class Response(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> Optional[tuple]:
    """Return the first line and the headers of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Optional[Request]:
    """Return the next request of a connection; None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ', 2)
    body = await reader.readexactly(int(head[1].get('content-length', '0')))
    return Request(method, target, head[1], body)


async def read_response(reader: asyncio.StreamReader) -> Optional[Response]:
    """Return the next response with a length or chunks; None if the connection ended before its end."""
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(' ')[1])
    try:
        if head[1].get('transfer-encoding') == 'chunked':
            return Response(status, head[1], await _read_chunks(reader))
        return Response(status, head[1], await reader.readexactly(int(head[1].get('content-length', '0'))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(part[:-2])


def encode_request(method: str, target: str, headers: dict, body: bytes = b'') -> bytes:
    """Encode a request with a length."""
    lines = [f'{method} {target} HTTP/1.1', *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def encode_response(status: int, headers: dict, body: bytes = b'') -> bytes:
    """Encode a response with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve(handler: Handler, host: str, port: int = 0) -> asyncio.AbstractServer:
    """Serve connections; errors of a connection that its peer ended are dropped."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(guarded, host, port, limit=2**22)


def address_of(server: asyncio.AbstractServer) -> str:
    """Return the address on which a server listens, as IP:PORT."""
    host, port = server.sockets[0].getsockname()[:2]
    return f'{host}:{port}'
