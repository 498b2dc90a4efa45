"""Clients of the older processes, while a far end stops inside the head of its answer."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.errors import PlatformUnavailableError, UpstreamError
from sesamepoint.platform.http_client import HttpClient
from sesamepoint.upstream.http_client import UpstreamHttpClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HEADS = (
    b'HTTP/1.1 200 OK\r\nx: 1\r\ncontent-length: 5\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nx: 1\r\ntransfer-encoding: chunked\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nx: 1\r\n\r\n',
    b'HTTP/1.1 200 OK\nx: 1\n\n',
)
TIMEOUT_S = 5.0
RECEIVE_BYTES = 65536


class CutHeadsTest(TestCase):
    """Entry and agent, which use another HTTP library than instances do."""

    def test_calls_to_upstreams(self) -> None:
        """Guards against half a head of an engine that passes for an answer with an empty body."""
        trio.run(_sweep, _call_upstream)

    def test_calls_to_platform(self) -> None:
        """Guards against half a head of the store that passes for a list without entries."""
        trio.run(_sweep, _call_platform)


async def _call_upstream(url: str) -> bool:
    try:
        await UpstreamHttpClient(url).call('GET', '/', b'')
    except UpstreamError:
        return False
    return True


async def _call_platform(url: str) -> bool:
    try:
        await HttpClient('store', url).request('GET', '/', b'', TIMEOUT_S)
    except PlatformUnavailableError:
        return False
    return True


async def _sweep(call: Callable[[str], Awaitable[bool]]) -> None:
    for head in HEADS:
        taken = [size for size, _ in enumerate(head) if await _is_taken(call, head[:size])]
        if taken:
            raise AssertionError(f'answers that were cut at {taken} of {head!r} passed for whole')


async def _is_taken(call: Callable[[str], Awaitable[bool]], cut: bytes) -> bool:
    """Tell whether a call returns an answer where the far end sends ``cut`` and closes."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, partial(_serve, cut), listeners)
        taken = await call(f'http://127.0.0.1:{listeners[0].socket.getsockname()[1]}')
        nursery.cancel_scope.cancel()
    return taken


async def _serve(cut: bytes, stream: trio.SocketStream) -> None:
    async with stream:
        await stream.receive_some(RECEIVE_BYTES)
        await stream.send_all(cut)
