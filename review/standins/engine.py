"""A model runner of stage decode, as a process of its own, that streams events.

Usage: engine.py KEY HOST:PORT RECORD OPTIONS

OPTIONS is a JSON object with the fields of the class Options.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import http


class Options(NamedTuple):
    """How an engine answers.

    ``framed``: in chunks; otherwise the end of the connection is the end of a stream. ``limit``: the rate that it names
    in its answers, if any. ``born``: the Unix millisecond of its start; 0 if it does not tell.
    """

    events: int
    pause_s: float
    framed: bool = False
    version: str = 'v1'
    born: int = 0
    limit: str = ''


class Engine:
    """Streams a fixed number of events to each request, and records each run."""

    def __init__(self, key: str, record: str, options: Options) -> None:
        self._key = key
        self._record = open(record, 'a', buffering=1)
        self._options = options
        self._running = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (req := await http.read_request(reader)) is not None:
            own = {'Sesamepoint-Instance-Id': self._key}
            if req.path == '/v1/report':
                report = {'stage': 'decode', 'models': [{'name': 'm', 'version': 1, 'adapters': []}], 'busy': False}
                counts = {'sequence': 0, 'waiting': 0, 'running': self._running, 'kv_used': 0, 'kv_total': 500000}
                born = {'born': self._options.born} if self._options.born else {}
                body = json.dumps({**report, **counts, 'handles': 0, **born}).encode()
                writer.write(http.encode_response(200, {'Content-Type': 'application/json'}, body))
            elif req.path == '/v1/kv-list':
                body = json.dumps({'epoch': 1, 'next_token': 0, 'held': []}).encode()
                writer.write(http.encode_response(200, {'Content-Type': 'application/json'}, body))
            elif req.path == '/healthz':
                writer.write(http.encode_response(200, own))
            elif 'sesamepoint-request-id' not in req.headers:
                writer.write(http.encode_response(400, {'Sesamepoint-Not-Executed': '1'}))
            elif req.headers.get('sesamepoint-expect-instance', self._key) != self._key:
                echo = {'Sesamepoint-Request-Id': req.headers['sesamepoint-request-id']}
                writer.write(http.encode_response(421, {**echo, **own}))
            else:
                after = int(req.headers.get('last-event-id') or 0)
                await self._stream(req.headers['sesamepoint-request-id'], after, writer)
                if not self._options.framed:
                    return
            await writer.drain()

    async def _stream(self, request_id: str, after: int, writer: asyncio.StreamWriter) -> None:
        """Write the events of a stream that follow the event ``after``."""
        events, version = self._options.events, self._options.version
        self._note(request_id, f'runs at build {version} from piece {after + 1}')
        self._running += 1
        headers = {
            'Content-Type': 'text/event-stream',
            'Sesamepoint-Request-Id': request_id,
            'Sesamepoint-Server-Stamp': f'stamp.{self._key}.{request_id}',
            'Sesamepoint-Weight-Versions': '1',
            **({'Transfer-Encoding': 'chunked'} if self._options.framed else {'Connection': 'close'}),
            **({'Server-Limit': self._options.limit} if self._options.limit else {}),
        }
        lines = ['HTTP/1.1 200 OK', *(f'{name}: {text}' for name, text in headers.items())]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        try:
            for number in range(after + 1, events + 1):
                await asyncio.sleep(self._options.pause_s)
                event = f'id: {number}\ndata: {request_id} build {version} piece {number} of {events}\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(event), event) if self._options.framed else event)
                await writer.drain()
            if self._options.framed:
                writer.write(b'0\r\n\r\n')
            self._note(request_id, 'ran to its end')
        except ConnectionError:
            self._note(request_id, 'caller left')
        finally:
            self._running -= 1

    def _note(self, request_id: str, text: str) -> None:
        self._record.write(f'{time.monotonic()} {self._key} {request_id} {text}\n')


async def main() -> None:
    key, address, record, options = sys.argv[1:5]
    host, port = address.split(':')
    engine = Engine(key, record, Options(**json.loads(options)))
    server = await http.serve(engine.handle, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
