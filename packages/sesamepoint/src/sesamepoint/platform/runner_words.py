"""Decoding of the status headers in runners' responses."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, TypeVar

from sesamepoint_core.registry import Registry
from sesamepoint_core.runner_limit.belief import parse_rate
from sesamepoint_core.runner_words.texts import parse_leaving, parse_rest
from sesamepoint_core.runner_words.words import Leaves, Limits, NoLimit, Rests, Unreadable
from sesamepoint.front.job import successful
from sesamepoint.platform import names
from sesamepoint.platform.headers import signed

if TYPE_CHECKING:
    from sesamepoint_core.runner_words.words import RunnerWord
    from sesamepoint.http1.messages import ResponseHead

UNAVAILABLE = 503
# Length to which an unreadable header value is cut for the log.
SHOWN_TEXT = 40

FoundT = TypeVar('FoundT')
Decoder = Callable[['ResponseHead'], 'Iterator[RunnerWord]']

DECODERS: Registry[Decoder] = Registry('status header decoder')


def words_of(head: ResponseHead) -> list[RunnerWord]:
    """Return all status headers in the head of a runner's response."""
    return [decoded for name in DECODERS for decoded in DECODERS.get(name)(head)]


@DECODERS.register('leaving')
def _leaving(head: ResponseHead) -> Iterator[RunnerWord]:
    """Decode draining; one of several headers that reports it is enough."""
    parsed, unreadable = _read(head, names.RUNNER_LEAVING, 'leaving', parse_leaving)
    if any(parsed):
        yield Leaves()
    yield from unreadable


@DECODERS.register('rest')
def _rest(head: ResponseHead) -> Iterator[RunnerWord]:
    """Decode a back-off; the longest of several applies.

    Only a response with status 503 can ask for a back-off.
    """
    if head.status != UNAVAILABLE:
        return
    parsed, unreadable = _read(head, names.RETRY_AFTER, 'rest', parse_rest)
    if max(parsed, default=0) > 0:
        yield Rests(max(parsed))
    yield from unreadable


@DECODERS.register('limit')
def _limit(head: ResponseHead) -> Iterator[RunnerWord]:
    """Decode the rate limit; the last readable one of several applies.

    A successful signed response without the header means that there is no limit.
    """
    parsed, unreadable = _read(head, names.RUNNER_LIMIT, 'limit', parse_rate)
    if parsed:
        yield Limits(parsed[-1])
    elif not unreadable and successful(head.status) and signed(head):
        yield NoLimit()
    yield from unreadable


def _read(
    head: ResponseHead, name: bytes, word: str, parse: Callable[[str], FoundT]
) -> tuple[list[FoundT], list[Unreadable]]:
    parsed: list[FoundT] = []
    unreadable: list[Unreadable] = []
    texts = [text.decode('latin-1') for field, text in head.headers if field == name]
    for text in texts:
        try:
            parsed.append(parse(text))
        except ValueError:
            unreadable.append(Unreadable(word, text[:SHOWN_TEXT] or '(empty)'))
    return parsed, unreadable


__all__ = ('DECODERS', 'UNAVAILABLE', 'words_of')
