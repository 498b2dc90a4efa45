"""A model runner of stage decode, as a process of its own: streams events, and ends its streams with the connection.

Usage: engine.py KEY HOST:PORT RECORD EVENTS PAUSE_S
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import http


class Engine:
    """Streams a fixed number of events to each request, and records each run."""

    def __init__(self, key: str, record: str, events: int, pause_s: float) -> None:
        self._key = key
        self._record = open(record, 'a', buffering=1)
        self._events = events
        self._pause_s = pause_s
        self._running = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (req := await http.read_request(reader)) is not None:
            own = {'Sesamepoint-Instance-Id': self._key}
            if req.path == '/v1/report':
                report = {'stage': 'decode', 'models': [{'name': 'm', 'version': 1, 'adapters': []}], 'busy': False}
                counts = {'sequence': 0, 'waiting': 0, 'running': self._running, 'kv_used': 0, 'kv_total': 500000}
                body = json.dumps({**report, **counts, 'handles': 0}).encode()
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
                return await self._stream(req.headers['sesamepoint-request-id'], writer)
            await writer.drain()

    async def _stream(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Write a stream without a length; the end of the connection is its end."""
        self._note(request_id, 'runs')
        self._running += 1
        headers = {
            'Content-Type': 'text/event-stream',
            'Sesamepoint-Request-Id': request_id,
            'Sesamepoint-Server-Stamp': f'stamp.{self._key}.{request_id}',
            'Sesamepoint-Weight-Versions': '1',
            'Connection': 'close',
        }
        lines = ['HTTP/1.1 200 OK', *(f'{name}: {text}' for name, text in headers.items())]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        try:
            for number in range(1, self._events + 1):
                await asyncio.sleep(self._pause_s)
                writer.write(f'id: {number}\ndata: {request_id} piece {number} of {self._events}\n\n'.encode())
                await writer.drain()
            self._note(request_id, 'ran to its end')
        except ConnectionError:
            self._note(request_id, 'caller left')
        finally:
            self._running -= 1

    def _note(self, request_id: str, text: str) -> None:
        self._record.write(f'{time.monotonic()} {self._key} {request_id} {text}\n')


async def main() -> None:
    key, address, record, events, pause_s = sys.argv[1:6]
    host, port = address.split(':')
    engine = Engine(key, record, int(events), float(pause_s))
    server = await http.serve(engine.handle, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
