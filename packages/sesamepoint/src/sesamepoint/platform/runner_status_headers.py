"""Decoding of the status headers in runners' responses."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, TypeVar

from sesamepoint_core.registry import Registry
from sesamepoint_core.runner_limit.known_limit import UNLIMITED_RATE, parse_rate
from sesamepoint_core.runner_status.parsing import parse_back_off, parse_draining
from sesamepoint_core.runner_status.status_headers import BackOff, Draining, NoRateLimit, RateLimit, Unreadable
from sesamepoint.front.requests.job import is_success
from sesamepoint.platform import wire_names
from sesamepoint.platform.headers import is_signed

if TYPE_CHECKING:
    from sesamepoint_core.runner_status.status_headers import StatusHeader
    from sesamepoint.http1.messages import ResponseHead

UNAVAILABLE = 503
# Length to which an unreadable header value is cut for the log.
MAX_LOGGED_CHARS = 40

FoundT = TypeVar('FoundT')
Decoder = Callable[['ResponseHead'], 'Iterator[StatusHeader]']

DECODERS: Registry[Decoder] = Registry('status header decoder')


def decode_status(head: ResponseHead) -> list[StatusHeader]:
    """Return all status headers in the head of a runner's response."""
    return [decoded for name in DECODERS for decoded in DECODERS.get(name)(head)]


@DECODERS.register('leaving')
def _draining(head: ResponseHead) -> Iterator[StatusHeader]:
    """Decode draining; one of several headers that reports it is enough."""
    parsed, unreadable = _parse_all(head, wire_names.RUNNER_DRAINING, 'leaving', parse_draining)
    if any(parsed):
        yield Draining()
    yield from unreadable


@DECODERS.register('rest')
def _back_off(head: ResponseHead) -> Iterator[StatusHeader]:
    """Decode a back-off; the longest of several applies.

    Only a response with status 503 can ask for a back-off.
    """
    if head.status != UNAVAILABLE:
        return
    parsed, unreadable = _parse_all(head, wire_names.RETRY_AFTER, 'rest', parse_back_off)
    if max(parsed, default=0) > 0:
        yield BackOff(max(parsed))
    yield from unreadable


@DECODERS.register('limit')
def _rate_limit(head: ResponseHead) -> Iterator[StatusHeader]:
    """Decode the rate limit; the last readable one of several applies.

    A successful signed response without the header means that there is no limit, and so does a rate that nothing
    reaches: operators write one for "no limit".
    """
    parsed, unreadable = _parse_all(head, wire_names.RUNNER_LIMIT, 'limit', parse_rate)
    if parsed:
        yield RateLimit(parsed[-1]) if parsed[-1] < UNLIMITED_RATE else NoRateLimit()
    elif not unreadable and is_success(head.status) and is_signed(head):
        yield NoRateLimit()
    yield from unreadable


def _parse_all(
    head: ResponseHead, name: bytes, header: str, parse: Callable[[str], FoundT]
) -> tuple[list[FoundT], list[Unreadable]]:
    parsed: list[FoundT] = []
    unreadable: list[Unreadable] = []
    texts = [text.decode('latin-1') for field, text in head.headers if field == name]
    for text in texts:
        try:
            parsed.append(parse(text))
        except ValueError:
            unreadable.append(Unreadable(header, text[:MAX_LOGGED_CHARS] or '(empty)'))
    return parsed, unreadable


__all__ = ('DECODERS', 'UNAVAILABLE', 'decode_status')
