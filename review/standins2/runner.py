"""Stand-in for a plain runner: a process of its own, which registers itself in the store.

Arguments: one JSON object. SIGUSR1 makes it report ``draining``; it then exits ``exit_after_s`` seconds after the store
has accepted that report, and its record is removed.
"""

import asyncio
import json
import os
import signal
import struct
import sys
import time

from standins2.http import Closed, head_bytes, read_request, read_response

HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0


class Runner:
    """One incarnation of a runner."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.draining = False
        self.beat_now = asyncio.Event()
        self.log_file = open(cfg['log'], 'a', buffering=1)
        self.port = 0

    def log(self, **fields):
        self.log_file.write(json.dumps({'at': time.monotonic(), 'runner': self.cfg['id'], **fields}) + '\n')

    async def run(self):
        server = await asyncio.start_server(self.serve, self.cfg['host'], self.cfg['port'])
        self.port = server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, self.drain)
        self.log(what='started', port=self.port)
        await self.heartbeats()

    def drain(self):
        self.draining = True
        self.beat_now.set()

    async def heartbeats(self):
        accepted_at = None
        sequence = 0
        while True:
            sequence += 1
            draining = self.draining
            if await self.write(self.registration()):
                if draining and accepted_at is None:
                    accepted_at = time.monotonic()
                    self.log(what='draining accepted')
            wait_s = HEARTBEAT_S
            if accepted_at is not None:
                wait_s = min(wait_s, accepted_at + self.cfg['exit_after_s'] - time.monotonic())
            if not self.draining:
                try:
                    await asyncio.wait_for(self.beat_now.wait(), wait_s)
                except asyncio.TimeoutError:
                    pass
            else:
                await asyncio.sleep(max(wait_s, 0))
            if accepted_at is not None and time.monotonic() >= accepted_at + self.cfg['exit_after_s']:
                self.log(what='exits')
                await self.write(None)
                os._exit(0)

    def registration(self):
        return {
            'service': self.cfg['service'],
            'address': self.cfg.get('address') or f"{self.cfg['host']}:{self.port}",
            'zone': self.cfg['zone'],
            'version': 'v1',
            'slots': 6,
            'state': 'draining' if self.draining else 'ready',
            'cold_remaining_ms': 0,
            'sequence': 0,
            **self.cfg.get('more', {}),
        }

    async def write(self, document):
        """Write the entry of this runner; return False if the store did not answer."""
        key = self.cfg['id'].encode()
        record = bytes((len(key),)) + key + (b'' if document is None else json.dumps(document).encode())
        body = struct.pack('>I', len(record)) + record
        host, port = self.cfg['store']
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
                try:
                    head = head_bytes(
                        'POST /v1/log-append?topic=keyed.servers&part=0 HTTP/1.1',
                        [('host', f'{host}:{port}'), ('content-length', str(len(body)))],
                    )
                    writer.write(head + body)
                    answer, _ = await read_response(reader)
                    return answer.first[1] == '200'
                finally:
                    writer.close()
        except (TimeoutError, OSError, Closed):
            return False

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if not await self.answer(request, writer):
                    return
                await writer.drain()
        except (Closed, ConnectionError):
            return
        finally:
            writer.close()

    async def answer(self, request, writer):
        """Answer one request; return whether the connection stays open."""
        method, target = request.first[:2]
        if target == '/healthz':
            status = 503 if self.draining else 200
            self.send(writer, status, [('Sesamepoint-Instance-Id', self.cfg['id'])], b'')
            return True
        if target == '/v1/report':
            self.send(writer, 200, [('Content-Type', 'application/json')], b'{"waiting":0,"running":0}')
            return True
        if target == '/v1/kv-list':
            self.send(writer, 200, [('Content-Type', 'application/json')], b'{"epoch":1,"next_token":0,"held":[]}')
            return True
        request_id = request.headers.get('sesamepoint-request-id', '')
        echo = [('Sesamepoint-Request-Id', request_id)]
        expected = request.headers.get('sesamepoint-expect-instance', self.cfg['id'])
        if expected != self.cfg['id']:
            self.log(what='misdirected', request=request_id)
            own = ('Sesamepoint-Instance-Id', self.cfg['id'])
            self.send(writer, 421, [*echo, own, ('Sesamepoint-Not-Executed', '1')], b'')
            return True
        self.log(what='runs', request=request_id, method=method, target=target)
        signed = [*echo, ('Sesamepoint-Server-Stamp', f"{self.cfg['id']}.{request_id}")]
        if '/stream/' in target:
            return await self.answer_stream(writer, signed, request_id, int(request.headers.get('last-event-id') or 0))
        body = whole_body(request_id, self.cfg['body_bytes'])
        if '/unframed/' in target:
            return await self.answer_unframed(writer, signed, request_id, body)
        await asyncio.sleep(self.cfg['work_s'])
        self.send(writer, 200, signed, body)
        self.log(what='answered', request=request_id)
        return True

    async def answer_unframed(self, writer, signed, request_id, body):
        """Send an answer without a length, in two parts, which ends with its connection."""
        half = len(body) // 2
        writer.write(head_bytes('HTTP/1.1 200 OK', [*signed, ('Connection', 'close')]) + body[:half])
        await writer.drain()
        self.log(what='half sent', request=request_id)
        await asyncio.sleep(self.cfg['work_s'])
        writer.write(body[half:])
        await writer.drain()
        self.log(what='answered', request=request_id)
        return False

    async def answer_stream(self, writer, signed, request_id, after):
        """Send a stream of events, in chunks or with neither chunks nor a length."""
        chunked = not self.cfg.get('unframed')
        framing = ('Transfer-Encoding', 'chunked') if chunked else ('Connection', 'close')
        writer.write(head_bytes('HTTP/1.1 200 OK', [*signed, ('Content-Type', 'text/event-stream'), framing]))
        for number in range(after + 1, self.cfg['events'] + 1):
            event = one_event(request_id, number, self.cfg['event_bytes'])
            writer.write(b'%x\r\n%b\r\n' % (len(event), event) if chunked else event)
            await writer.drain()
            await asyncio.sleep(self.cfg.get('pause_s', 0.005))
        if chunked:
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        self.log(what='answered', request=request_id)
        return chunked

    def send(self, writer, status, headers, body):
        writer.write(head_bytes(f'HTTP/1.1 {status} -', [*headers, ('Content-Length', str(len(body)))]) + body)


def whole_body(request_id, size):
    """Return the whole body of the answer to a request."""
    return (f'{request_id}:' * (size // (len(request_id) + 1) + 1))[:size].encode()


def one_event(request_id, number, size):
    """Return one event of a stream."""
    return f'id: {number}\ndata: {whole_body(request_id, size).decode()}\n\n'.encode()


if __name__ == '__main__':
    asyncio.run(Runner(json.loads(sys.argv[1])).run())
