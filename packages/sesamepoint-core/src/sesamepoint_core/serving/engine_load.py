"""What an engine has to do, from what all entries sent to it."""

from __future__ import annotations

from typing import NamedTuple

# Work of which nobody told the end is forgotten after this many times its
# length and this many seconds: its entry may have died, or its word was lost.
FORGET_FACTOR = 4.0
FORGET_S = 1.5
# Longest that a stream is counted without word of its end, in seconds; the
# longest deadlines of today are six.
FORGET_STREAM_S = 8.0


class Work(NamedTuple):
    """A prompt that an engine has to read.

    Parameters
    ----------
    work_s
        Seconds it takes at that engine by itself.
    rank
        0 is the most urgent; engines take more urgent work first.
    added_at
        When it was sent.
    """

    work_s: float
    rank: int
    added_at: float


class Stream(NamedTuple):
    """An answer that an engine generates; ``tokens`` take up its memory."""

    tokens: int
    added_at: float


class EngineLoad:
    """The prompts and answers that were sent to an engine and have no end yet."""

    def __init__(self) -> None:
        """Start idle."""
        self._works: dict[str, Work] = {}
        self._streams: dict[str, Stream] = {}
        self._last_read: float = 0

    def add_work(self, name: str, work: Work) -> None:
        """Count a prompt until :meth:`read` is told of it."""
        self._works[name] = work

    def add_stream(self, name: str, stream: Stream) -> None:
        """Count an answer until :meth:`finished` is told of it."""
        self._streams[name] = stream

    def read(self, name: str, now: float) -> None:
        """Note that the prompt called ``name`` is read, or given up."""
        if self._works.pop(name, None) is not None:
            self._last_read = now

    def finished(self, name: str) -> None:
        """Note that the answer called ``name`` has ended."""
        self._streams.pop(name, None)

    def wait_s(self, rank: int, now: float) -> float:
        """Return the seconds until work of ``rank`` that comes now begins.

        All that is as urgent goes first, and what the engine is working on,
        since engines do not put down a prompt that they have begun.
        """
        self._forget_works(now)
        if not self._works:
            return 0
        begun = next(iter(self._works.values()))
        ahead_s = sum(work.work_s for work in self._works.values() if work.rank <= rank)
        if begun.rank > rank:
            ahead_s += begun.work_s
        begun_at = max(self._last_read, begun.added_at)
        return max(ahead_s - min(now - begun_at, begun.work_s), 0)

    def streams(self, now: float) -> int:
        """Return the number of answers under way."""
        self._forget_streams(now)
        return len(self._streams)

    def stream_tokens(self, now: float) -> int:
        """Return the memory that answers under way take, in tokens."""
        self._forget_streams(now)
        return sum(stream.tokens for stream in self._streams.values())

    def _forget_works(self, now: float) -> None:
        for name, work in tuple(self._works.items()):
            if now - work.added_at > FORGET_S + FORGET_FACTOR * work.work_s:
                self._works.pop(name)

    def _forget_streams(self, now: float) -> None:
        for name, stream in tuple(self._streams.items()):
            if now - stream.added_at > FORGET_STREAM_S:
                self._streams.pop(name)


__all__ = ('EngineLoad', 'Stream', 'Work')
