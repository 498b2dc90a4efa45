"""Decoding of callers' request headers, and encoding of headers for runners."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.field_types import MAX_MILLISECONDS, MAX_TOKENS
from sesamepoint_core.serving.accounts import KeyFault, PresentedKey, digest_of
from sesamepoint_core.serving.prompt import Part, Prompt
from sesamepoint_core.stream_origin.continuation import Continuation
from sesamepoint_core.units import MS_PER_S
from sesamepoint.front.requests.request import FrontRequest
from sesamepoint.http1.messages import RejectedRequestError, RequestHead, header
from sesamepoint.platform import wire_names

if TYPE_CHECKING:
    from sesamepoint_core.serving.accounts import Account
    from sesamepoint.http1.messages import Headers, ResponseHead
    from sesamepoint.http1.server import ReceivedRequest

BAD_REQUEST = 400
MISDIRECTED = 421
EVENT_STREAM = b'text/event-stream'


class AttemptHeaders(NamedTuple):
    """Headers that one attempt adds to those of the request.

    Parameters
    ----------
    incarnation
        The only incarnation of a runner that may run the request.
    left_s
        Time left for the runner, in seconds.
    prefill_only
        Whether the runner only prefills the prompt.
    kv_source
        Where the KV cache of the prefilled prompt is, as address and handle.
    fetch_from
        Address of a runner that has prefix blocks of the prompt in its cache.
    resume_after
        Id of the event after which a stream is resumed.
    """

    incarnation: str
    left_s: float
    priority: int
    prefill_only: bool = False
    kv_source: str = ''
    fetch_from: str = ''
    resume_after: str = ''


def decode_request(message: ReceivedRequest) -> FrontRequest:
    """Decode a caller's request.

    Raises
    ------
    RejectedRequestError
        If the host or the request id is missing, or a header is malformed.
    """
    headers = message.head.headers
    host = header(headers, b'host')
    request_id = header(headers, wire_names.REQUEST_ID)
    if not host or not request_id:
        raise RejectedRequestError(BAD_REQUEST, 'a host and a request id are needed')
    return FrontRequest(
        request_id=request_id.decode('latin-1'),
        host=host.decode('latin-1').partition(':')[0],
        path=message.head.target.decode('latin-1').partition('?')[0],
        head=message.head._replace(headers=_forwarded_headers(headers)),
        body=message.body,
        arrived_at=message.arrived_at,
        deadline_s=_deadline_s(headers),
        prompt=_decode_prompt_headers(headers),
        caller=message.caller,
        key=_presented_key(headers),
        continuation=_continuation(headers),
    )


def with_account(req: FrontRequest, account: Account | None) -> FrontRequest:
    """Return ``req`` with its account's name instead of the API key, as runners receive it."""
    own = tuple(pair for pair in req.head.headers if pair[0] not in {wire_names.AUTHORIZATION, wire_names.ACCOUNT})
    if account is not None:
        own = (*own, (wire_names.ACCOUNT, account.name.encode()))
    return req._replace(head=req.head._replace(headers=own))


def encode_request(req: FrontRequest, attempt_headers: AttemptHeaders) -> RequestHead:
    """Return the request head that is sent to a runner."""
    added = [
        (wire_names.EXPECT_INCARNATION, attempt_headers.incarnation.encode()),
        (wire_names.DEADLINE_MS, str(max(int(attempt_headers.left_s * MS_PER_S), 1)).encode()),
        (b'content-length', str(len(req.body)).encode()),
    ]
    if req.prompt:
        added.append((wire_names.PRIORITY, str(attempt_headers.priority).encode()))
    if attempt_headers.prefill_only:
        added.append((wire_names.SERVING_STAGE, b'prefill'))
    if attempt_headers.kv_source:
        added.append((wire_names.KV_SOURCE, attempt_headers.kv_source.encode()))
    if attempt_headers.fetch_from:
        added.append((wire_names.KV_FETCH, attempt_headers.fetch_from.encode()))
    own = req.head.headers
    if attempt_headers.resume_after:
        own = tuple(pair for pair in own if pair[0] != wire_names.LAST_EVENT_ID)
        added.append((wire_names.LAST_EVENT_ID, attempt_headers.resume_after.encode()))
    return req.head._replace(headers=(*own, *added))


def matches_request(req: FrontRequest, response: ResponseHead) -> bool:
    """Return whether a runner's response belongs to ``req``.

    A refusal of the whole connection may lack a request id.
    """
    echoed = header(response.headers, wire_names.REQUEST_ID)
    return echoed is None or echoed.decode('latin-1') == req.request_id


def is_signed(response: ResponseHead) -> bool:
    """Return whether a response is signed by a runner and its body is not re-encoded."""
    if header(response.headers, wire_names.CONTENT_ENCODING) is not None:
        return False
    return header(response.headers, wire_names.SIGNATURE) is not None


def reports_not_run(response: ResponseHead) -> bool:
    """Return whether a runner reports that it did not run the request."""
    return response.status == MISDIRECTED or header(response.headers, wire_names.NOT_EXECUTED) is not None


def may_be_event_stream(response: ResponseHead) -> bool:
    """Return whether the body may be a stream of events, as it is by default on a streamed route."""
    content_type = header(response.headers, b'content-type')
    return content_type is None or content_type.partition(b';')[0].strip().lower() == EVENT_STREAM


def is_other_incarnation(response: ResponseHead, incarnation: str) -> bool:
    """Return whether another incarnation than the expected one has responded."""
    return responding_incarnation(response, incarnation) != incarnation


def responding_incarnation(response: ResponseHead, incarnation: str) -> str:
    """Return the incarnation that has responded where ``incarnation`` was expected."""
    responder = header(response.headers, wire_names.INCARNATION) if response.status == MISDIRECTED else None
    return incarnation if responder is None else responder.decode('latin-1')


def response_headers(response: ResponseHead, method: bytes = b'') -> Headers:
    """Return a runner's headers without the hop-by-hop ones, for the caller.

    The answer to a HEAD request keeps its length, which is not that of its own body.
    """
    kept = (b'content-length',) if method == b'HEAD' else ()
    return tuple(pair for pair in response.headers if pair[0] in kept or pair[0] not in wire_names.HOP_BY_HOP)


def _forwarded_headers(headers: Headers) -> Headers:
    listed = {token.strip().lower() for name, text in headers if name == b'connection' for token in text.split(b',')}
    dropped = (listed - wire_names.FORWARDED_HEADERS) | wire_names.HOP_BY_HOP | wire_names.INTERNAL_HEADERS
    return tuple(pair for pair in headers if pair[0] not in dropped)


def _presented_key(headers: Headers) -> PresentedKey:
    presented = [text for name, text in headers if name == wire_names.AUTHORIZATION]
    if not presented:
        return PresentedKey(fault=KeyFault.missing)
    if len(presented) > 1:
        return PresentedKey(fault=KeyFault.repeated)
    scheme, _, key = presented[0].strip().partition(b' ')
    # A space means that the header holds no key, or two.
    if scheme.lower() != wire_names.AUTH_SCHEME or not key or b' ' in key:
        return PresentedKey(fault=KeyFault.malformed)
    return PresentedKey(digest_of(key), KeyFault.none)


def _continuation(headers: Headers) -> Continuation:
    first_attempts = _texts_of(headers, wire_names.RESUMES)
    last_event_ids = _texts_of(headers, wire_names.LAST_EVENT_ID)
    return Continuation(
        last_event_id=last_event_ids[0] if last_event_ids else '',
        # Two different ids name no stream.
        first_attempt=first_attempts[0] if len(set(first_attempts)) == 1 else '',
    )


def _texts_of(headers: Headers, name: bytes) -> list[str]:
    """Return the texts of all headers called ``name`` that are not empty."""
    texts = (text.strip().decode('latin-1') for own_name, text in headers if own_name == name)
    return [text for text in texts if text]


def _deadline_s(headers: Headers) -> float | None:
    text = header(headers, wire_names.DEADLINE_MS)
    if text is None:
        return None
    try:
        deadline_ms = float(text)
    except ValueError as exc:
        raise RejectedRequestError(BAD_REQUEST, 'the deadline is no number') from exc
    if math.isnan(deadline_ms):
        # It compares as neither passed nor left.
        raise RejectedRequestError(BAD_REQUEST, 'the deadline is no number')
    return min(max(deadline_ms, 0), MAX_MILLISECONDS) / MS_PER_S


def _decode_prompt_headers(headers: Headers) -> Prompt | None:
    counts = header(headers, wire_names.TOKEN_COUNTS)
    if counts is None:
        return None
    model = (header(headers, wire_names.MODEL) or b'').decode('latin-1')
    try:
        return _decode_prompt(model, counts, header(headers, wire_names.PROMPT_PREFIX) or b'')
    except ValueError as exc:
        raise RejectedRequestError(BAD_REQUEST, 'the token counts or prompt parts are malformed') from exc


def _decode_prompt(model: str, counts: bytes, prefix_blocks: bytes) -> Prompt:
    tokens, max_output = map(_token_count, counts.split(b','))
    entries = [entry.strip().partition(b':') for entry in prefix_blocks.split(b',') if entry.strip()]
    parts = tuple(Part(key.decode('latin-1'), _token_count(size)) for key, _, size in entries)
    return Prompt(model, parts, tokens, max_output)


def _token_count(text: bytes) -> int:
    count = int(text)
    if not 0 <= count <= MAX_TOKENS:
        raise ValueError(f'a token count is not from 0 to {MAX_TOKENS}')
    return count


__all__ = (
    'AttemptHeaders',
    'decode_request',
    'encode_request',
    'is_other_incarnation',
    'is_signed',
    'matches_request',
    'may_be_event_stream',
    'reports_not_run',
    'responding_incarnation',
    'response_headers',
    'with_account',
)
