"""Status codes and bodies of the HTTP replies to callers."""

from __future__ import annotations

import math
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint_core.answer.outcome import Failed, NotRun, Unknown

if TYPE_CHECKING:
    from sesamepoint.entry.parse import BadRequestError

JSON_TYPE = b'application/json'
STREAM_TYPE = b'text/event-stream'
STREAM_END = b'data: [DONE]\n\n'
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
_TAG_STATUS = MappingProxyType({NotRun.tag: 503, Unknown.tag: 502, Failed.tag: 504})
_CODE_STATUS = MappingProxyType({'account_limit': 429})
_BAD_REQUEST_STATUS = MappingProxyType({'body_too_large': 413, 'unknown_model': 404, 'unknown_service': 404})


class HttpReply(NamedTuple):
    """Complete HTTP reply."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def render_refusal(outcome: NotRun | Unknown | Failed) -> HttpReply:
    """Return the reply for an outcome without an answer."""
    headers = [(b'content-type', JSON_TYPE)]
    if isinstance(outcome, NotRun):
        headers.append((b'retry-after', str(math.ceil(outcome.retry_after_s)).encode()))
    status = _CODE_STATUS.get(outcome.code, _TAG_STATUS[outcome.tag])
    return HttpReply(status, tuple(headers), error_body(outcome))


def render_bad_request(exc: BadRequestError) -> HttpReply:
    """Return the reply for an invalid request."""
    body = _encode_error('not_run', exc.code, str(exc))
    return HttpReply(_BAD_REQUEST_STATUS.get(exc.code, STATUS_BAD_REQUEST), ((b'content-type', JSON_TYPE),), body)


def error_body(outcome: NotRun | Unknown | Failed) -> bytes:
    """Return the JSON error object, used in both bodies and streams."""
    message = f'{outcome.code}; {outcome.remedy}'
    retry_after_s = outcome.retry_after_s if isinstance(outcome, NotRun) else None
    return _encode_error(outcome.tag, outcome.code, message, retry_after_s)


def whole_completion(model: str, chunks: list[bytes]) -> bytes:
    """Return the body of a completion that is not streamed."""
    text = b''.join(chunks).decode()
    return msgspec.json.encode(_completion(model, text, 'stop'))


def stream_event(model: str, chunk: bytes) -> bytes:
    """Return the server-sent event of one chunk."""
    encoded = msgspec.json.encode(_completion(model, chunk.decode(), None))
    return b''.join((b'data: ', encoded, b'\n\n'))


def stream_error(outcome: NotRun | Unknown | Failed) -> bytes:
    """Return the server-sent event that ends an incomplete stream."""
    return b''.join((b'event: error\ndata: ', error_body(outcome), b'\n\n'))


def _completion(model: str, text: str, finish_reason: str | None) -> dict[str, object]:
    choice = {'index': 0, 'text': text, 'finish_reason': finish_reason}
    return {'object': 'text_completion', 'model': model, 'choices': [choice]}


def _encode_error(outcome: str, code: str, message: str, retry_after_s: float | None = None) -> bytes:
    fields: dict[str, object] = {'outcome': outcome, 'code': code, 'message': message}
    if retry_after_s is not None:
        fields['retry_after_s'] = round(retry_after_s, 3)
    return msgspec.json.encode({'error': fields})


__all__ = (
    'JSON_TYPE',
    'STATUS_NOT_FOUND',
    'STATUS_OK',
    'STREAM_END',
    'STREAM_TYPE',
    'HttpReply',
    'error_body',
    'render_bad_request',
    'render_refusal',
    'stream_error',
    'stream_event',
    'whole_completion',
)
