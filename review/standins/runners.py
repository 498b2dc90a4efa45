"""A runner of a plain service, as the pages describe a sound one."""

from __future__ import annotations

import asyncio
import time

from standins import http


class Runner:
    """Runs requests on a number of slots, and records when each began and ended to run."""

    def __init__(self, key: str, service: str, work_s: float = 0.03, slots: int = 6) -> None:
        self.key = key
        self.service = service
        self.address = ''
        self.state = 'ready'
        # Rows of: start and end on the steady clock, request id, sender.
        self.runs: list = []
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots

    @property
    def registration(self) -> dict:
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-front-1',
            'version': 'v1',
            'slots': self._slot_count,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': 0,
        }

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sender = writer.get_extra_info('peername')[0]
        while (req := await http.read_request(reader)) is not None:
            writer.write(await self._answer(req, sender))
            await writer.drain()

    async def _answer(self, req: http.Request, sender: str) -> bytes:
        request_id = req.headers.get('sesamepoint-request-id')
        if req.path == '/healthz':
            return http.encode_response(200, {'Sesamepoint-Instance-Id': self.key})
        if request_id is None:
            return http.encode_response(400, {'Sesamepoint-Not-Executed': '1'})
        own = {'Sesamepoint-Request-Id': request_id}
        if req.headers.get('sesamepoint-expect-instance', self.key) != self.key:
            return http.encode_response(421, {**own, 'Sesamepoint-Instance-Id': self.key})
        async with self._slots:
            began = time.monotonic()
            await asyncio.sleep(self._work_s)
            self.runs.append((began, time.monotonic(), request_id, sender))
        return http.encode_response(200, {**own, 'Sesamepoint-Server-Stamp': f'stamp.{request_id}'}, b'done')
