"""Decoding of callers' request headers, and encoding of headers for runners."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.serving.accounts import KeyFault, ShownKey, digest_of
from sesamepoint_core.serving.prompt import Part, Prompt
from sesamepoint_core.units import MS_PER_S
from sesamepoint.front.request import FrontRequest
from sesamepoint.http1.messages import RejectedMessageError, RequestHead, header
from sesamepoint.platform import names

if TYPE_CHECKING:
    from sesamepoint_core.serving.accounts import Account
    from sesamepoint.http1.messages import Headers, ResponseHead
    from sesamepoint.http1.server import Message

BAD_REQUEST = 400
MISDIRECTED = 421


class Sending(NamedTuple):
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


def decode_request(message: Message) -> FrontRequest:
    """Decode a caller's request.

    Raises
    ------
    RejectedMessageError
        If the host or the request id is missing, or a header is malformed.
    """
    headers = message.head.headers
    host = header(headers, b'host')
    request_id = header(headers, names.REQUEST_ID)
    if not host or not request_id:
        raise RejectedMessageError(BAD_REQUEST, 'a host and a request id are needed')
    return FrontRequest(
        request_id=request_id.decode('latin-1'),
        host=host.decode('latin-1').partition(':')[0],
        path=message.head.target.decode('latin-1').partition('?')[0],
        head=message.head._replace(headers=_forwarded(headers)),
        body=message.body,
        arrived=message.arrived,
        deadline_s=_deadline_s(headers),
        prompt=_prompt(headers),
        caller=message.caller,
        key=_shown_key(headers),
    )


def attributed(req: FrontRequest, account: Account | None) -> FrontRequest:
    """Return ``req`` with its account's name instead of the API key, as runners receive it."""
    own = tuple(pair for pair in req.head.headers if pair[0] not in {names.AUTHORIZATION, names.ACCOUNT})
    if account is not None:
        own = (*own, (names.ACCOUNT, account.name.encode()))
    return req._replace(head=req.head._replace(headers=own))


def encode_request(req: FrontRequest, sending: Sending) -> RequestHead:
    """Return the request head that is sent to a runner."""
    added = [
        (names.EXPECT_INCARNATION, sending.incarnation.encode()),
        (names.DEADLINE_MS, str(max(int(sending.left_s * MS_PER_S), 1)).encode()),
        (b'content-length', str(len(req.body)).encode()),
    ]
    if req.prompt:
        added.append((names.PRIORITY, str(sending.priority).encode()))
    if sending.prefill_only:
        added.append((names.STAGE, b'prefill'))
    if sending.kv_source:
        added.append((names.KV_SOURCE, sending.kv_source.encode()))
    if sending.fetch_from:
        added.append((names.KV_FETCH, sending.fetch_from.encode()))
    own = req.head.headers
    if sending.resume_after:
        own = tuple(pair for pair in own if pair[0] != names.LAST_EVENT)
        added.append((names.LAST_EVENT, sending.resume_after.encode()))
    return req.head._replace(headers=(*own, *added))


def answers(req: FrontRequest, found: ResponseHead) -> bool:
    """Return whether a runner's response belongs to ``req``.

    A refusal of the whole connection may lack a request id.
    """
    echoed = header(found.headers, names.REQUEST_ID)
    return echoed is None or echoed.decode('latin-1') == req.request_id


def signed(found: ResponseHead) -> bool:
    """Return whether a response is signed by a runner and its body is not re-encoded."""
    if header(found.headers, names.CONTENT_ENCODING) is not None:
        return False
    return header(found.headers, names.SIGNATURE) is not None


def says_not_run(found: ResponseHead) -> bool:
    """Return whether a runner reports that it did not run the request."""
    return found.status == MISDIRECTED or header(found.headers, names.NOT_RUN) is not None


def replaced(found: ResponseHead, incarnation: str) -> bool:
    """Return whether another incarnation than the expected one has responded."""
    return answered_by(found, incarnation) != incarnation


def answered_by(found: ResponseHead, incarnation: str) -> str:
    """Return the incarnation that has responded where ``incarnation`` was expected."""
    responder = header(found.headers, names.INCARNATION) if found.status == MISDIRECTED else None
    return incarnation if responder is None else responder.decode('latin-1')


def returned(found: ResponseHead) -> Headers:
    """Return a runner's headers without the hop-by-hop ones, for the caller."""
    return tuple(pair for pair in found.headers if pair[0] not in names.ONE_HOP)


def _forwarded(headers: Headers) -> Headers:
    listed = {token.strip().lower() for name, text in headers if name == b'connection' for token in text.split(b',')}
    dropped = (listed - names.ALWAYS_FORWARDED) | names.ONE_HOP | names.SYSTEM_ONLY
    return tuple(pair for pair in headers if pair[0] not in dropped)


def _shown_key(headers: Headers) -> ShownKey:
    presented = [text for name, text in headers if name == names.AUTHORIZATION]
    if not presented:
        return ShownKey(fault=KeyFault.missing)
    if len(presented) > 1:
        return ShownKey(fault=KeyFault.repeated)
    scheme, _, key = presented[0].strip().partition(b' ')
    # A space means that the header holds no key, or two.
    if scheme.lower() != names.KEY_SCHEME or not key or b' ' in key:
        return ShownKey(fault=KeyFault.malformed)
    return ShownKey(digest_of(key), KeyFault.none)


def _deadline_s(headers: Headers) -> float | None:
    text = header(headers, names.DEADLINE_MS)
    if text is None:
        return None
    try:
        return max(float(text) / MS_PER_S, 0)
    except ValueError as exc:
        raise RejectedMessageError(BAD_REQUEST, 'the deadline is no number') from exc


def _prompt(headers: Headers) -> Prompt | None:
    counts = header(headers, names.TOKEN_COUNTS)
    if counts is None:
        return None
    model = (header(headers, names.MODEL) or b'').decode('latin-1')
    try:
        return _decode_prompt(model, counts, header(headers, names.PROMPT_PARTS) or b'')
    except ValueError as exc:
        raise RejectedMessageError(BAD_REQUEST, 'the token counts or prompt parts are malformed') from exc


def _decode_prompt(model: str, counts: bytes, listed: bytes) -> Prompt:
    tokens, max_output = (int(count) for count in counts.split(b','))
    if tokens < 0 or max_output < 0:
        raise ValueError('negative token counts')
    entries = [entry.strip().partition(b':') for entry in listed.split(b',') if entry.strip()]
    parts = tuple(Part(key.decode('latin-1'), int(size)) for key, _, size in entries)
    if any(part.tokens < 0 for part in parts):
        raise ValueError('negative token count of a prefix block')
    return Prompt(model, parts, tokens, max_output)


__all__ = (
    'Sending',
    'answered_by',
    'answers',
    'attributed',
    'decode_request',
    'encode_request',
    'replaced',
    'returned',
    'says_not_run',
    'signed',
)
