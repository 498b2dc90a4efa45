"""Model of one hop: what a caller sees of a stream whose runner breaks off, by the decisions of core alone."""

from __future__ import annotations

import re
from collections.abc import Callable
from itertools import pairwise
from typing import NamedTuple

from sesamepoint_core.body_end.body_facts import BodyFacts, BodyKind, Framing, ReadEnd
from sesamepoint_core.body_end.decision import BodyEnd, BrokenOff, Complete, Unmarked, decide_end, settle
from sesamepoint_core.body_end.event_splitter import EventSplitter
from sesamepoint_core.body_end.response_end import ResponseEnd, response_end


class Hop(NamedTuple):
    """A stream as its runner sends it, and the framing in which its caller gets it.

    Parameters
    ----------
    sent
        Number of bytes of ``stream`` that the runner sends.
    cuts
        Where the bytes are divided into parts on the way.
    sender_ended
        Whether the runner's process ended with the connection.
    """

    stream: bytes
    sent: int
    cuts: tuple[int, ...]
    framing: Framing
    read_end: ReadEnd
    sender_ended: bool
    caller_framing: Framing

    @property
    def parts(self) -> list[bytes]:
        """Return the parts in which the bytes arrive."""
        inside = sorted({cut for cut in self.cuts if cut < self.sent})
        return [self.stream[start:end] for start, end in pairwise((0, *inside, self.sent))]

    @property
    def possible(self) -> bool:
        """Tell whether a runner can end like this: the length is only kept by all bytes, unless it lies."""
        return self.read_end is not ReadEnd.last_byte or self.framing is not Framing.until_close


class Seen(NamedTuple):
    """What the caller sees; ``whole`` if it takes the answer for complete."""

    body: bytes
    whole: bool


class Decisions(NamedTuple):
    """The decisions of a hop, which faulty variants replace one by one."""

    decide: Callable[[BodyFacts], BodyEnd] = decide_end
    settle: Callable[..., Complete | BrokenOff] = settle
    respond: Callable[..., ResponseEnd] = response_end
    splitter: Callable[[], EventSplitter] = EventSplitter


def relay(hop: Hop, decisions: Decisions) -> Seen:
    """Return what the caller sees of a stream."""
    splitter = decisions.splitter()
    body = b''.join(splitter.feed(part) for part in hop.parts)
    facts = BodyFacts(BodyKind.events, hop.framing, hop.read_end, splitter.whole_events, splitter.left_over_bytes)
    end = decisions.decide(facts)
    if isinstance(end, Unmarked):
        end = decisions.settle(end, sender_ended=hop.sender_ended)
    complete = isinstance(end, Complete)
    closing = decisions.respond(hop.caller_framing, complete=complete)
    # A close is the end for a caller that gets neither a length nor chunks.
    closed_at_end = closing is ResponseEnd.close and hop.caller_framing is Framing.until_close
    return Seen(body + splitter.take_comments() if complete else body, closing is ResponseEnd.mark or closed_at_end)


def faults(hop: Hop, seen: Seen) -> list[str]:
    """Return what is wrong with what the caller sees; this knows the stream and nothing of the decisions."""
    found = []
    if not hop.stream.startswith(seen.body):
        found.append('other bytes than those of the runner')
    if _open_fields(seen.body):
        found.append('half an event')
    if seen.whole and not _runner_says_whole(hop):
        found.append('complete, though its runner does not say so')
    if seen.whole and _open_fields(hop.stream[: hop.sent]):
        found.append('complete, though the last event is not whole')
    return found


def _runner_says_whole(hop: Hop) -> bool:
    if hop.read_end is ReadEnd.last_byte:
        return True
    if hop.framing is not Framing.until_close or hop.read_end is not ReadEnd.closed:
        return False
    return not hop.sender_ended and b'data' in hop.stream[: hop.sent]


def _open_fields(stream: bytes) -> list[bytes]:
    """Return the lines of an event, or parts of them, after the last blank line."""
    text = re.sub(rb'\r\n|\r', b'\n', stream)
    after = re.split(rb'\A\n|\n\n', text)[-1]
    return [line for line in after.split(b'\n') if line and not line.startswith(b':')]


__all__ = ('Decisions', 'Hop', 'Seen', 'faults', 'relay')
