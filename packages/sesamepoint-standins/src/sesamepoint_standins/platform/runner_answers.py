"""Answers of a stand-in for a runner, and the prompts that it reads."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

from sesamepoint_core.serving.prompt import Part
from sesamepoint.http1.messages import header
from sesamepoint.platform import wire_names

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint.http1.server import ReceivedRequest

VERSION_MARK = ' by '


def plain_body(request_id: str) -> bytes:
    """Return the body of the answer of any plain runner."""
    return f'answer to {request_id}'.encode()


def stream_event(request_id: str, number: int, version: str = '') -> bytes:
    """Return one event of the stream of an answer, marked with the ``version`` of its runner if one is given."""
    mark = f'{VERSION_MARK}{version}' if version else ''
    return f'id: {number}\ndata: {request_id} {number}{mark}\n\n'.encode()


def stream_events(request_id: str, numbers: Iterable[int], version: str, line_end: bytes) -> list[bytes]:
    """Return some events of the stream of an answer, with the given line ends."""
    events = (stream_event(request_id, number, version) for number in numbers)
    return [event.replace(b'\n', line_end) for event in events]


def parse_prompt(message: ReceivedRequest) -> tuple[list[Part], int]:
    counts = header(message.head.headers, wire_names.TOKEN_COUNTS) or b'0,0'
    encoded = (header(message.head.headers, wire_names.PROMPT_PREFIX) or b'').decode()
    blocks = [block.partition(':') for block in encoded.split(',') if block]
    return [Part(key, int(tokens)) for key, _, tokens in blocks], int(counts.split(b',')[1])


def leading_parts(parts: list[Part], tokens: int) -> list[Part]:
    """Return the leading prefix blocks that ``tokens`` tokens cover completely."""
    ends = accumulate(part.tokens for part in parts)
    return [part for part, end in zip(parts, ends, strict=True) if end <= tokens]


__all__ = (
    'VERSION_MARK',
    'leading_parts',
    'parse_prompt',
    'plain_body',
    'stream_event',
    'stream_events',
)
