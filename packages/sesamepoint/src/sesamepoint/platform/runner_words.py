"""Decoding of what runners say of themselves in the heads of their answers."""

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
# As much of a text that can't be read as a log line needs.
SHOWN_TEXT = 40

FoundT = TypeVar('FoundT')
Decoder = Callable[['ResponseHead'], 'Iterator[RunnerWord]']

DECODERS: Registry[Decoder] = Registry('word of a runner')


def words_of(head: ResponseHead) -> list[RunnerWord]:
    """Return all that the head of an answer says of its runner."""
    return [word for name in DECODERS for word in DECODERS.get(name)(head)]


@DECODERS.register('leaving')
def _leaving(head: ResponseHead) -> Iterator[RunnerWord]:
    """Of several texts one that says so is enough."""
    said, unreadable = _read(head, names.RUNNER_LEAVING, 'leaving', parse_leaving)
    if any(said):
        yield Leaves()
    yield from unreadable


@DECODERS.register('rest')
def _rest(head: ResponseHead) -> Iterator[RunnerWord]:
    """Of several times the longest counts; none is asked for but by turning a request away."""
    if head.status != UNAVAILABLE:
        return
    said, unreadable = _read(head, names.RETRY_AFTER, 'rest', parse_rest)
    if max(said, default=0) > 0:
        yield Rests(max(said))
    yield from unreadable


@DECODERS.register('limit')
def _limit(head: ResponseHead) -> Iterator[RunnerWord]:
    """Of several limits the last good one counts."""
    said, unreadable = _read(head, names.RUNNER_LIMIT, 'limit', parse_rate)
    if said:
        yield Limits(said[-1])
    elif not unreadable and successful(head.status) and signed(head):
        yield NoLimit()
    yield from unreadable


def _read(
    head: ResponseHead, name: bytes, word: str, parse: Callable[[str], FoundT]
) -> tuple[list[FoundT], list[Unreadable]]:
    said: list[FoundT] = []
    unreadable: list[Unreadable] = []
    texts = [text.decode('latin-1') for found, text in head.headers if found == name]
    for text in texts:
        try:
            said.append(parse(text))
        except ValueError:
            unreadable.append(Unreadable(word, text[:SHOWN_TEXT] or '(empty)'))
    return said, unreadable


__all__ = ('DECODERS', 'UNAVAILABLE', 'words_of')
