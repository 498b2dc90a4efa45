"""ASGI application for callers."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from sesamepoint_core.admit import limits
from sesamepoint_core.answer.outcome import Answered, NotRun
from sesamepoint_core.config.check import NotConfiguredError
from sesamepoint.entry import render
from sesamepoint.entry.parse import SERVICES_PATH, BadRequestError, RawRequest, parse_completion, parse_plain
from sesamepoint.upstream.plain import ReplyHead

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint_core.answer.outcome import Outcome
    from sesamepoint.entry.entry import Entry
    from sesamepoint.entry.request import CallerRequest

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

COMPLETIONS_PATH = '/v1/completions'
RETRY_AFTER_S = 1.0


class CallerApp:
    """Serves callers' requests; health checks are served on the metrics address."""

    def __init__(self, entry: Entry) -> None:
        """Create the application for one request server."""
        self._entry = entry

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer one ASGI scope."""
        try:
            req = self._parse(await _read(scope, receive))
        except BadRequestError as exc:
            await _reply(send, render.render_bad(exc))
        except NotConfiguredError as exc:
            await _reply(send, render.render_refusal(NotRun('not_configured', exc.remedy, RETRY_AFTER_S)))
        else:
            await self._serve_while_heard(req, receive, send)

    def _parse(self, raw: RawRequest) -> CallerRequest:
        if raw.path == COMPLETIONS_PATH and raw.method == 'POST':
            return parse_completion(raw, self._entry.fleets)
        if raw.path.startswith(SERVICES_PATH):
            return parse_plain(raw, self._entry.fleets)
        raise BadRequestError('no_such_path', f'there is no endpoint {raw.method} {raw.path}', 'see docs/API.md')

    async def _serve_while_heard(self, req: CallerRequest, receive: Receive, send: Send) -> None:
        """Serve the request; cancel it when the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            await _REPLIES[_reply_kind(req)](self._entry, req, send)
            nursery.cancel_scope.cancel()


async def _stream(entry: Entry, req: CallerRequest, send: Send) -> None:
    model = _model(req)
    started = False

    async def emit(chunk: bytes) -> None:  # noqa: WPS430
        nonlocal started  # noqa: WPS420
        if not started:
            started = True
            await _start(send, render.STATUS_OK, ((b'content-type', render.STREAM_TYPE),))
        await _body(send, render.stream_event(model, chunk), more=True)

    outcome = await entry.serve(req, emit)
    if isinstance(outcome, Answered):
        await _body(send, render.STREAM_END, more=False)
    elif started:
        await _body(send, render.stream_error(outcome), more=False)
    else:
        await _reply(send, render.render_refusal(outcome))


async def _whole(entry: Entry, req: CallerRequest, send: Send) -> None:
    outcome, chunks = await _collect(entry, req)
    if isinstance(outcome, Answered):
        body = render.whole_completion(_model(req), chunks)
        await _reply(send, render.Rendered(render.STATUS_OK, ((b'content-type', render.JSON_TYPE),), body))
    else:
        await _reply(send, render.render_refusal(outcome))


async def _plain(entry: Entry, req: CallerRequest, send: Send) -> None:
    outcome, chunks = await _collect(entry, req)
    if isinstance(outcome, Answered):
        head = msgspec.json.decode(chunks[0], type=ReplyHead)
        headers = ((b'content-type', head.content_type.encode()),)
        await _reply(send, render.Rendered(head.status, headers, b''.join(chunks[1:])))
    else:
        await _reply(send, render.render_refusal(outcome))


_REPLIES = MappingProxyType({'stream': _stream, 'whole': _whole, 'plain': _plain})


def _reply_kind(req: CallerRequest) -> str:
    if req.job.kind == 'plain':
        return 'plain'
    return 'stream' if req.streamed else 'whole'


async def _collect(entry: Entry, req: CallerRequest) -> tuple[Outcome, list[bytes]]:
    chunks: list[bytes] = []

    async def emit(chunk: bytes) -> None:  # noqa: WPS430
        chunks.append(chunk)

    return await entry.serve(req, emit), chunks


def _model(req: CallerRequest) -> str:
    return str(msgspec.json.decode(req.job.body)['model'])


async def _read(scope: dict[str, Any], receive: Receive) -> RawRequest:
    body = bytearray()
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
        if len(body) > limits.MAX_BODY_BYTES:
            raise BadRequestError(
                'body_too_large', f'the body is over {limits.MAX_BODY_BYTES} bytes', 'send a smaller body'
            )
    headers = {name.decode('latin-1').lower(): text.decode('latin-1') for name, text in scope['headers']}
    return RawRequest(scope['method'], scope['path'], headers, bytes(body))


async def _cancel_on_disconnect(receive: Receive, serving: trio.CancelScope) -> None:
    while (await receive())['type'] != 'http.disconnect':
        await trio.lowlevel.checkpoint()
    serving.cancel()


async def _reply(send: Send, reply: render.Rendered) -> None:
    await _start(send, reply.status, (*reply.headers, (b'content-length', str(len(reply.body)).encode())))
    await _body(send, reply.body, more=False)


async def _start(send: Send, status: int, headers: tuple[tuple[bytes, bytes], ...]) -> None:
    await send({'type': 'http.response.start', 'status': status, 'headers': list(headers)})


async def _body(send: Send, body: bytes, *, more: bool) -> None:
    await send({'type': 'http.response.body', 'body': body, 'more_body': more})


__all__ = ('COMPLETIONS_PATH', 'CallerApp')
