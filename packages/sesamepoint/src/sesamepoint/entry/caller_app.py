"""ASGI application for callers."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import trio

from sesamepoint_core.admit import input_limits
from sesamepoint_core.answer.outcome import Answered, NotRun
from sesamepoint_core.config.check import NotConfiguredError
from sesamepoint_core.decoding import decode_json
from sesamepoint.entry import http_replies
from sesamepoint.entry.parse import SERVICES_PATH, BadRequestError, RawRequest, parse_completion, parse_plain
from sesamepoint.upstream.plain import ReplyHead

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint_core.answer.outcome import Outcome
    from sesamepoint.entry.request import CallerRequest
    from sesamepoint.entry.request_server import RequestServer

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

COMPLETIONS_PATH = '/v1/completions'
RETRY_AFTER_S = 1.0


class _CallerGoneError(Exception):
    """The caller disconnected before its request was complete."""


class CallerApp:
    """Serves callers' requests; health checks are served on the metrics address."""

    def __init__(self, server: RequestServer) -> None:
        """Create the application for one request server."""
        self._server = server

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer one ASGI scope."""
        try:
            req = self._parse(await _read_request(scope, receive))
        except _CallerGoneError:
            return
        except BadRequestError as exc:
            await _send_reply(send, http_replies.render_bad_request(exc))
        except NotConfiguredError as exc:
            await _send_reply(send, http_replies.render_refusal(NotRun('not_configured', exc.remedy, RETRY_AFTER_S)))
        else:
            await self._serve_until_disconnect(req, receive, send)

    def _parse(self, raw: RawRequest) -> CallerRequest:
        if raw.path == COMPLETIONS_PATH and raw.method == 'POST':
            return parse_completion(raw, self._server.fleets)
        if raw.path.startswith(SERVICES_PATH):
            return parse_plain(raw, self._server.fleets)
        raise BadRequestError('no_such_path', f'nothing answers {raw.method} {raw.path}', 'see docs/API.md')

    async def _serve_until_disconnect(self, req: CallerRequest, receive: Receive, send: Send) -> None:
        """Serve the request; cancel it when the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            await _REPLY_FUNCTIONS[_reply_kind(req)](self._server, req, send)
            nursery.cancel_scope.cancel()


async def _reply_stream(server: RequestServer, req: CallerRequest, send: Send) -> None:
    model = _requested_model(req)
    started = False

    async def emit(chunk: bytes) -> None:  # noqa: WPS430
        nonlocal started  # noqa: WPS420
        if not started:
            started = True
            await _send_head(send, http_replies.STATUS_OK, ((b'content-type', http_replies.STREAM_TYPE),))
        await _send_body(send, http_replies.stream_event(model, chunk), more=True)

    outcome = await server.serve(req, emit)
    if isinstance(outcome, Answered):
        if not started:
            await _send_head(send, http_replies.STATUS_OK, ((b'content-type', http_replies.STREAM_TYPE),))
        await _send_body(send, http_replies.STREAM_END, more=False)
    elif started:
        await _send_body(send, http_replies.stream_error(outcome), more=False)
    else:
        await _send_reply(send, http_replies.render_refusal(outcome))


async def _reply_whole(server: RequestServer, req: CallerRequest, send: Send) -> None:
    outcome, chunks = await _serve_and_collect(server, req)
    if isinstance(outcome, Answered):
        body = http_replies.whole_completion(_requested_model(req), chunks)
        await _send_reply(
            send, http_replies.HttpReply(http_replies.STATUS_OK, ((b'content-type', http_replies.JSON_TYPE),), body)
        )
    else:
        await _send_reply(send, http_replies.render_refusal(outcome))


async def _reply_plain(server: RequestServer, req: CallerRequest, send: Send) -> None:
    outcome, chunks = await _serve_and_collect(server, req)
    if isinstance(outcome, Answered):
        head = decode_json(chunks[0], ReplyHead)
        headers = ((b'content-type', head.content_type.encode()),)
        await _send_reply(send, http_replies.HttpReply(head.status, headers, b''.join(chunks[1:])))
    else:
        await _send_reply(send, http_replies.render_refusal(outcome))


_REPLY_FUNCTIONS = MappingProxyType({'stream': _reply_stream, 'whole': _reply_whole, 'plain': _reply_plain})


def _reply_kind(req: CallerRequest) -> str:
    if req.job.kind == 'plain':
        return 'plain'
    return 'stream' if req.streamed else 'whole'


async def _serve_and_collect(server: RequestServer, req: CallerRequest) -> tuple[Outcome, list[bytes]]:
    chunks: list[bytes] = []

    async def emit(chunk: bytes) -> None:  # noqa: WPS430
        chunks.append(chunk)

    return await server.serve(req, emit), chunks


def _requested_model(req: CallerRequest) -> str:
    return str(decode_json(req.job.body, dict[str, Any])['model'])


async def _read_request(scope: dict[str, Any], receive: Receive) -> RawRequest:
    body = bytearray()
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise _CallerGoneError
        body += message.get('body', b'')
        more = message.get('more_body', False)
        if len(body) > input_limits.MAX_BODY_BYTES:
            raise BadRequestError(
                'body_too_large', f'the body is over {input_limits.MAX_BODY_BYTES} bytes', 'send less'
            )
    headers = {name.decode('latin-1').lower(): text.decode('latin-1') for name, text in scope['headers']}
    return RawRequest(scope['method'], scope['path'], headers, bytes(body))


async def _cancel_on_disconnect(receive: Receive, serving: trio.CancelScope) -> None:
    while (await receive())['type'] != 'http.disconnect':
        await trio.lowlevel.checkpoint()
    serving.cancel()


async def _send_reply(send: Send, reply: http_replies.HttpReply) -> None:
    await _send_head(send, reply.status, (*reply.headers, (b'content-length', str(len(reply.body)).encode())))
    await _send_body(send, reply.body, more=False)


async def _send_head(send: Send, status: int, headers: tuple[tuple[bytes, bytes], ...]) -> None:
    await send({'type': 'http.response.start', 'status': status, 'headers': list(headers)})


async def _send_body(send: Send, body: bytes, *, more: bool) -> None:
    await send({'type': 'http.response.body', 'body': body, 'more_body': more})


__all__ = ('COMPLETIONS_PATH', 'CallerApp')
