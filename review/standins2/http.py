"""The little of HTTP/1.1 that the stand-ins speak."""

import asyncio


class Closed(Exception):
    """The connection ended before a message was complete."""


class Message:
    """A request or a response: its first line, its headers in lower case, and its body."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Read a first line and headers."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as exc:
        raise Closed(repr(exc)) from exc
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return Message(lines[0].split(' '), headers)


async def read_request(reader):
    """Read a request with a length or in chunks."""
    message = await read_head(reader)
    message.body = await _framed_body(reader, message.headers)
    return message


async def _framed_body(reader, headers):
    try:
        if headers.get('transfer-encoding') == 'chunked':
            return await _chunks(reader)
        return await reader.readexactly(int(headers.get('content-length', '0')))
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        raise Closed(repr(exc)) from exc


async def _chunks(reader):
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return body
        body += part[:-2]


async def read_response(reader):
    """Read a response; return it and whether its framing marks it as complete."""
    message = await read_head(reader)
    headers = message.headers
    if 'transfer-encoding' in headers or 'content-length' in headers:
        try:
            message.body = await _framed_body(reader, headers)
        except Closed:
            return message, False
        return message, True
    try:
        message.body = await reader.read()
    except ConnectionError:
        return message, False
    return message, True


def head_bytes(first, headers):
    """Encode a first line and headers."""
    lines = [first, *(f'{name}: {text}' for name, text in headers)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
