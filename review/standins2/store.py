"""Stand-in for the platform's store: keyed topics of one partition, as PROTOCOL.md tells them."""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qsl

from standins2.http import Closed, head_bytes, read_request

ANSWER_S = 0.004


class Topic:
    """The records of a topic, as pairs of a key and bytes."""

    def __init__(self):
        self.records = []
        self.changed = asyncio.Event()

    def append(self, key, text):
        self.records.append((key, text))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records)


class Store:
    """Serves log-append, log-read and log-newest.

    ``lose`` is called with each write, as topic, key and decoded bytes, before it is done. It returns None, or for
    how many seconds the write is put off; such a write gets no answer, and its connection returns nothing further.
    """

    def __init__(self):
        self.topics = {}
        self.lose = lambda topic, key, text: None
        # Called after each write, with topic, key, bytes, and the time at which it was done.
        self.on_write = lambda topic, key, text, at: None
        self.writes = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, document):
        """Write as the operator or a runner does; None deletes the key."""
        self._append(topic, key, b'' if document is None else json.dumps(document).encode())

    async def start(self, host):
        server = await asyncio.start_server(self._serve, host, 0)
        return server.sockets[0].getsockname()[1]

    def _append(self, topic, key, text):
        end = self.topic(topic).append(key, text)
        self.writes += 1
        self.on_write(topic, key, text, time.monotonic())
        return end

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                answer = await self._respond(request)
                if answer is None:
                    # An answer was lost: the connection stays silent until its other end closes it.
                    await reader.read()
                    return
                status, body = answer
                head = head_bytes(f'HTTP/1.1 {status} -', [('content-length', str(len(body)))])
                writer.write(head + body)
                await writer.drain()
        except (Closed, ConnectionError):
            return
        finally:
            writer.close()

    async def _respond(self, request):
        await asyncio.sleep(ANSWER_S)
        path, _, query = request.first[1].partition('?')
        fields = dict(parse_qsl(query))
        topic = self.topic(fields['topic'])
        if path == '/v1/log-newest':
            newest = {}
            for offset, (key, text) in enumerate(topic.records):
                newest[key] = (offset, text)
            items = [
                {'key': key, 'value': base64.b64encode(text).decode(), 'offset': offset}
                for key, (offset, text) in newest.items()
                if text
            ]
            return 200, json.dumps({'items': items, 'has_more': False, 'end': len(topic.records)}).encode()
        if path == '/v1/log-read':
            return await self._read(topic, int(fields['source']), int(fields.get('wait_ms', '0')) / 1000)
        return await self._write(fields, request.body)

    async def _read(self, topic, start, wait_s):
        if start > len(topic.records):
            return 410, json.dumps({'first': 0}).encode()
        if start == len(topic.records):
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        body = struct.pack('>QQ', len(topic.records), 0)
        for key, text in topic.records[start:]:
            raw = bytes((len(key.encode()),)) + key.encode() + text
            body += struct.pack('>I', len(raw)) + raw
        return 200, body

    async def _write(self, fields, body):
        record = body[4:]
        key = record[1 : 1 + record[0]].decode()
        text = record[1 + record[0] :]
        name = fields['topic']
        delay_s = self.lose(name, key, text)
        if delay_s is not None:
            asyncio.get_running_loop().call_later(delay_s, self._do_late, fields, key, text)
            return None
        if 'at' in fields and int(fields['at']) != len(self.topic(name).records):
            return 412, json.dumps({'end': len(self.topic(name).records)}).encode()
        end = self._append(name, key, text)
        return 200, json.dumps({'offset': end - 1, 'end': end}).encode()

    def _do_late(self, fields, key, text):
        if 'at' not in fields or int(fields['at']) == len(self.topic(fields['topic']).records):
            self._append(fields['topic'], key, text)
