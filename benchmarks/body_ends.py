"""Processor time of splitting event streams and of deciding how bodies ended.

Run: python -m benchmarks.body_ends

Each figure is that of one event or one attempt, and its ratio to that of the least that could be done: searching the
bytes for the end of the last event.
"""

from __future__ import annotations

import sys
from time import process_time
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.body_end.body_facts import BodyFacts, BodyKind, Framing, ReadEnd
from sesamepoint_core.body_end.decision import decide_end
from sesamepoint_core.body_end.event_splitter import EventSplitter

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    Split = Callable[[Sequence[bytes]], None]

EVENTS = 40
REPEATS = 2000
BEST_OF = 5
US_PER_S = 1_000_000
LONG_EVENT = (b'id: 1\ndata: ', *(b'x' * 65_536 for _ in range(160)), b'\n\n')


class Stream(NamedTuple):
    """Parts of a stream, and the number of events in them."""

    name: str
    parts: tuple[bytes, ...]
    events: int
    repeats: int = REPEATS


def _events(line_end: bytes) -> tuple[bytes, ...]:
    texts = (f'id: {number}\ndata: 4196f6c338350887 token {number}\n\n' for number in range(EVENTS))
    return tuple(text.encode().replace(b'\n', line_end) for text in texts)


def _halves(parts: Sequence[bytes]) -> tuple[bytes, ...]:
    return tuple(half for part in parts for half in (part[: len(part) // 2], part[len(part) // 2 :]))


STREAMS = (
    Stream('events that come alone', _events(b'\n'), EVENTS),
    Stream('all events in one part', (b''.join(_events(b'\n')),), EVENTS),
    Stream('events in two parts each', _halves(_events(b'\n')), EVENTS),
    Stream('CR LF, events that come alone', _events(b'\r\n'), EVENTS),
    Stream('an event of 10 MB in parts of 64 KB', LONG_EVENT, 1, 1),
)


def _split(parts: Sequence[bytes]) -> None:
    splitter = EventSplitter()
    for part in parts:
        splitter.feed(part)


def _search(parts: Sequence[bytes]) -> None:
    for part in parts:
        part.rfind(b'\n\n')


def _decide(parts: Sequence[bytes]) -> None:
    decide_end(BodyFacts(BodyKind.events, Framing.chunked, ReadEnd.last_byte, len(parts), 0))


def measure(split: Split, stream: Stream) -> float:
    """Return the processor time of one event in microseconds, the best of some runs."""
    times = []
    for _ in range(BEST_OF):
        started = process_time()
        for _ in range(stream.repeats):
            split(stream.parts)
        times.append(process_time() - started)
    return US_PER_S * min(times) / stream.repeats / stream.events


def main() -> None:
    """Print one line for each stream, and one for the decision."""
    for stream in STREAMS:
        split_us = measure(_split, stream)
        ratio = split_us / measure(_search, stream)
        sys.stdout.write(f'{stream.name}: {split_us:.2f} us an event, {ratio:.1f} times a search\n')
    decided = Stream('decision', (), 1, REPEATS * EVENTS)
    sys.stdout.write(f'{decided.name}: {measure(_decide, decided):.2f} us an attempt\n')


if __name__ == '__main__':
    main()
