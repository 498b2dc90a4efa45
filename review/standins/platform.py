"""The platform: its store (a log with keyed topics), and the endpoint for usage reports."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time

from standins import http

ANSWER_S = 0.004


class Topic:
    """One partition of a keyed topic."""

    def __init__(self) -> None:
        self.records: list = []
        self.appended = asyncio.Event()

    def append(self, raw: bytes) -> int:
        self.records.append(raw)
        self.appended.set()
        self.appended = asyncio.Event()
        return len(self.records) - 1

    def newest(self) -> dict:
        """Return offset and value of the newest record of each key that has a value."""
        by_key = {}
        for offset, raw in enumerate(self.records):
            key_end = 1 + raw[0]
            by_key[raw[1:key_end].decode()] = (offset, raw[key_end:])
        return {key: pair for key, pair in by_key.items() if pair[1]}


class Store:
    """Serves log-append, log-read and log-newest; nothing that it acknowledged is lost."""

    def __init__(self) -> None:
        self.topics: dict = {}
        # Every call is answered 503, and nothing is done.
        self.down = False

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, document: object) -> None:
        """Write a document as the operator or a runner does; None drops the key."""
        name = key.encode()
        value = b'' if document is None else json.dumps(document).encode()
        self.topic(topic).append(bytes((len(name),)) + name + value)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (req := await http.read_request(reader)) is not None:
            await asyncio.sleep(ANSWER_S)
            status, body = (503, b'') if self.down else await self._answer(req)
            if self.down:
                # Also for a call that waited for records as the store went down.
                status, body = 503, b''
            writer.write(http.encode_response(status, {}, body))
            await writer.drain()

    async def _answer(self, req: http.Request) -> tuple:
        topic = self.topic(req.query['topic'])
        if req.path == '/v1/log-newest':
            items = [
                {'key': key, 'value': base64.b64encode(value).decode(), 'offset': offset}
                for key, (offset, value) in sorted(topic.newest().items())
            ]
            return 200, json.dumps({'items': items, 'has_more': False, 'end': len(topic.records)}).encode()
        if req.path == '/v1/log-read':
            return await self._read(topic, int(req.query['source']), int(req.query.get('wait_ms', '0')) / 1000)
        if req.path != '/v1/log-append':
            return 404, b'{}'
        if 'at' in req.query and int(req.query['at']) != len(topic.records):
            return 412, json.dumps({'end': len(topic.records)}).encode()
        first = len(topic.records)
        at = 0
        while at < len(req.body):
            size = struct.unpack_from('>I', req.body, at)[0]
            topic.append(req.body[at + 4 : at + 4 + size])
            at += 4 + size
        return 200, json.dumps({'offset': first, 'end': len(topic.records)}).encode()

    async def _read(self, topic: Topic, source: int, wait_s: float) -> tuple:
        if source >= len(topic.records) and wait_s:
            try:
                await asyncio.wait_for(topic.appended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        parts = [struct.pack('>QQ', len(topic.records), 0)]
        parts += [struct.pack('>I', len(raw)) + raw for raw in topic.records[source:]]
        return 200, b''.join(parts)


class UsageEndpoint:
    """Accepts usage reports and records each call as it arrives; it checks no fence."""

    def __init__(self) -> None:
        # Rows of: arrival on the steady clock, holder (each machine sends its own name), fence, window, counts.
        self.calls: list = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (req := await http.read_request(reader)) is not None:
            report = json.loads(req.body)
            holder = req.headers.get('sesamepoint-duty-holder', '')
            fence = int(req.headers.get('sesamepoint-fencing-token', '-1'))
            self.calls.append((time.monotonic(), holder, fence, report['window'], report['counts']))
            await asyncio.sleep(ANSWER_S)
            writer.write(http.encode_response(200, {}))
            await writer.drain()
