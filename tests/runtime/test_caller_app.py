"""Ends of the bodies that the ASGI application for callers reads and writes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest import TestCase

import msgspec
import trio

from sesamepoint_core.answer.outcome import Answered
from sesamepoint.entry import caller_app
from sesamepoint.entry.http_replies import STREAM_END
from tests.virtual_time import in_virtual_time, request

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint.entry.request import CallerRequest


class ServerWithoutChunks:
    """Serves each request with an answer that has no chunk."""

    def __init__(self) -> None:
        self.served = 0

    @property
    def fleets(self) -> object:
        """Count a request that is parsed."""
        self.served += 1
        return object()

    async def serve(self, req: CallerRequest, emit: Callable[[bytes], Awaitable[None]]) -> Answered:
        await trio.lowlevel.checkpoint()
        return Answered(chunks=0, late=False)


class CallerAppTest(TestCase):
    """Requests and answers that end early."""

    @in_virtual_time
    async def test_request_that_breaks_off(self) -> None:
        """Guards against a request that is served with the part of its body that came before its caller left."""
        messages = iter(({'type': 'http.request', 'body': b'{"a', 'more_body': True}, {'type': 'http.disconnect'}))

        async def receive() -> dict[str, Any]:
            await trio.lowlevel.checkpoint()
            return next(messages)

        server = ServerWithoutChunks()
        scope = {'type': 'http', 'method': 'POST', 'path': '/services/cards/a', 'headers': []}
        await caller_app.CallerApp(server)(scope, receive, _ignore)  # type: ignore[arg-type]
        self.assertEqual(server.served, 0)

    @in_virtual_time
    async def test_stream_without_chunks(self) -> None:
        """Guards against a complete stream without a chunk whose body is sent before its head."""
        sent: list[dict[str, Any]] = []

        async def send(message: dict[str, Any]) -> None:
            await trio.lowlevel.checkpoint()
            sent.append(message)

        req = request(body=msgspec.json.encode({'model': 'm'}), streamed=True)
        await caller_app._reply_stream(ServerWithoutChunks(), req, send)  # type: ignore[arg-type]
        self.assertEqual([message['type'] for message in sent], ['http.response.start', 'http.response.body'])
        self.assertEqual(sent[1]['body'], STREAM_END)


async def _ignore(message: dict[str, Any]) -> None:
    await trio.lowlevel.checkpoint()
