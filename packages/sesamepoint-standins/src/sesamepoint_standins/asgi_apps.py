"""ASGI applications that serve the stand-ins over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

from sesamepoint.platform.http_log import AppendReply, ReadReply
from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.units import MS_PER_S
from sesamepoint_standins.engine import Engine, EngineRefusedError, EngineRequest
from sesamepoint_standins.engine_model import answer_seed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint_standins.memory_platform import MemoryInstances, MemoryLog

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
STATUS_NOT_FOUND = 404
TOKEN_EVENT = b'data: {"choices":[{"index":0,"text":%b}]}\n\n'
DONE_EVENT = b'data: [DONE]\n\n'


class HttpRequest(NamedTuple):
    """HTTP request to a stand-in."""

    method: str
    path: str
    query: dict[str, list[str]]
    body: bytes


class HttpResponse(NamedTuple):
    """Complete HTTP response."""

    status: int
    body: bytes


class EngineCompletion(msgspec.Struct):
    """Fields of a completion request that the engine uses."""

    prompt: str
    prompt_tokens: int
    request_id: str
    max_tokens: int = 256
    priority: int = 0
    prefix: str = ''
    prefix_tokens: int = 0


class EngineOrder(msgspec.Struct):
    """Order to change the role of the engine."""

    role: str
    fence: int


async def read_request(scope: dict[str, Any], receive: Receive) -> HttpRequest:
    """Read the request of an ASGI scope with its whole body."""
    body = b''
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    return HttpRequest(scope['method'], scope['path'], parse_qs(scope['query_string'].decode()), body)


async def send_response(send: Send, response: HttpResponse) -> None:
    """Send a complete response."""
    headers = [(b'content-length', str(len(response.body)).encode()), (b'content-type', b'application/json')]
    await send({'type': 'http.response.start', 'status': response.status, 'headers': headers})
    await send({'type': 'http.response.body', 'body': response.body})


class PlatformApp:
    """Application for the log and the list of instances."""

    def __init__(self, log: MemoryLog, instances: MemoryInstances) -> None:
        """Serve ``log`` and ``instances``."""
        self._log = log
        self._instances = instances

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer one request."""
        call = await read_request(scope, receive)
        try:
            answer = await self._respond(call)
        except PlatformUnavailableError as exc:
            answer = HttpResponse(STATUS_UNAVAILABLE, str(exc).encode())
        await send_response(send, answer)

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/instances':
            return HttpResponse(STATUS_OK, msgspec.json.encode(await self._instances.fetch()))
        stream = request.path.removeprefix('/streams/')
        if request.method == 'POST':
            offset = await self._log.append(stream, request.body)
            return HttpResponse(STATUS_OK, msgspec.json.encode(AppendReply(offset)))
        start = int(request.query['from'][0])
        page = await self._log.read(stream, start, int(request.query['wait_ms'][0]) / MS_PER_S)
        records = tuple((record.offset, record.payload.decode()) for record in page.records)
        return HttpResponse(STATUS_OK, msgspec.json.encode(ReadReply(page.earliest, page.end, records)))


class EngineApp:
    """Application for one engine."""

    def __init__(self, engine: Engine) -> None:
        """Serve ``engine``."""
        self._engine = engine

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer one request."""
        call = await read_request(scope, receive)
        if call.path == '/v1/completions':
            await self._complete(call, send)
        else:
            await send_response(send, self._respond(call))

    def _respond(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/load':
            return HttpResponse(STATUS_OK, msgspec.json.encode(self._engine.load()._asdict()))
        if request.path == '/v1/cancel':
            self._engine.cancel(msgspec.json.decode(request.body)['request_id'])
            return HttpResponse(STATUS_OK, b'{}')
        if request.path == '/orders':
            return self._order(msgspec.json.decode(request.body, type=EngineOrder))
        return HttpResponse(STATUS_NOT_FOUND, b'{}')

    def _order(self, order: EngineOrder) -> HttpResponse:
        try:
            self._engine.order(order.role, order.fence)
        except EngineRefusedError as exc:
            return HttpResponse(STATUS_CONFLICT, str(exc).encode())
        return HttpResponse(STATUS_OK, b'{}')

    async def _complete(self, request: HttpRequest, send: Send) -> None:
        body = msgspec.json.decode(request.body, type=EngineCompletion)
        req = EngineRequest(
            body.request_id,
            body.prompt_tokens,
            body.max_tokens,
            body.priority,
            body.prefix,
            body.prefix_tokens,
            answer_seed(body.prompt.encode()),
        )
        headers = [(b'content-type', b'text/event-stream')]
        await send({'type': 'http.response.start', 'status': STATUS_OK, 'headers': headers})
        tokens = 0
        async for text in self._engine.submit(req):
            tokens += text.count(' ')
            event = TOKEN_EVENT % msgspec.json.encode(text)
            await send({'type': 'http.response.body', 'body': event, 'more_body': True})
        end = DONE_EVENT if tokens == body.max_tokens else b''
        await send({'type': 'http.response.body', 'body': end})


class PlainApp:
    """Application for a plain service that describes and records each request."""

    def __init__(self) -> None:
        """Start without requests."""
        self.requests: list[str] = []

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer one request."""
        call = await read_request(scope, receive)
        self.requests.append(f'{call.method} {call.path}')
        body = {'method': call.method, 'path': call.path, 'bytes': len(call.body)}
        await send_response(send, HttpResponse(STATUS_OK, msgspec.json.encode(body)))


__all__ = ('EngineApp', 'PlainApp', 'PlatformApp')
