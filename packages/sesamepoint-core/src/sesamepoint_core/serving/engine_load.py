"""Load of one engine: prompts to prefill and answers in progress, of all instances."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Prefill work whose end was not reported expires after this many times its
# length plus this many seconds: its instance may have failed, or the message was lost.
PREFILL_EXPIRY_FACTOR = 4.0
PREFILL_EXPIRY_S = 1.5
# Seconds after which a stream expires whose end was not reported. The longest
# deadlines in use are 6 s.
STREAM_EXPIRY_S = 8.0
# Length of the history of prefill work, in seconds. It has to cover the longest
# pause that streams may have; these are 0.25 s at most.
PREFILL_HISTORY_S = 1.0


class PrefillWork(NamedTuple):
    """A prompt that an engine has to prefill.

    Parameters
    ----------
    work_s
        Seconds that the prefill takes at that engine if nothing else runs there.
    added_at
        Time at which it was sent, in seconds.
    """

    work_s: float
    added_at: float


class Stream(NamedTuple):
    """An answer that an engine generates.

    Parameters
    ----------
    tokens
        Tokens of KV cache that it occupies.
    added_at
        Time at which it was sent, in seconds.
    late
        Whether it is past its deadline, so that a pause does no harm.
    """

    tokens: int
    added_at: float
    late: bool = False


class EngineLoad:
    """Prompts and answers that were sent to an engine and haven't ended yet."""

    def __init__(self) -> None:
        """Start without load."""
        self._prefills: dict[str, PrefillWork] = {}
        self._streams: dict[str, Stream] = {}
        self._prefill_ended_at: float = 0
        self._recent_prefills: deque[PrefillWork] = deque()

    def add_prefill(self, name: str, work: PrefillWork) -> None:
        """Count a prompt until its end is noted or it expires."""
        self._prefills[name] = work
        self._recent_prefills.append(work)

    def add_stream(self, name: str, stream: Stream) -> None:
        """Count an answer until its end is noted or it expires."""
        self._streams[name] = stream

    def end_prefill(self, name: str, now: float) -> None:
        """Note that the prefill of the prompt ``name`` is complete or was abandoned."""
        if self._prefills.pop(name, None) is not None:
            self._prefill_ended_at = now

    def end_stream(self, name: str) -> None:
        """Note that the answer ``name`` has ended."""
        self._streams.pop(name, None)

    def wait_s(self, now: float) -> float:
        """Return the seconds until the prefill of a prompt that is sent now begins.

        Engines accept all prompts for which they have a slot and prefill them
        in the order of arrival, whatever their priority: urgent prompts of 300
        tokens sent after 0.15 to 0.4 s of less urgent work took 0.17 to 0.27 s longer.
        """
        self._expire_prefills(now)
        if not self._prefills:
            return 0
        oldest = next(iter(self._prefills.values()))
        begun_at = max(self._prefill_ended_at, oldest.added_at)
        total_s = sum(work.work_s for work in self._prefills.values())
        return max(total_s - min(now - begun_at, oldest.work_s), 0)

    def begun_at(self, name: str) -> float | None:
        """Return when the engine began the prompt ``name``; None if an earlier one has not ended, or it has itself."""
        work = self._prefills.get(name)
        if work is None or name != next(iter(self._prefills)):
            return None
        return max(self._prefill_ended_at, work.added_at)

    def recent_prefill_s(self, span_s: float, now: float) -> float:
        """Return the seconds of prefill work that were sent in the last ``span_s`` seconds."""
        while self._recent_prefills and now - self._recent_prefills[0].added_at > PREFILL_HISTORY_S:
            self._recent_prefills.popleft()
        return sum(work.work_s for work in self._recent_prefills if now - work.added_at <= span_s)

    def streams(self, now: float) -> int:
        """Return the number of answers in progress."""
        self._expire_streams(now)
        return len(self._streams)

    def on_time_streams(self, now: float) -> int:
        """Return the number of answers in progress that can still meet their deadlines."""
        self._expire_streams(now)
        return sum(not stream.late for stream in self._streams.values())

    def stream_tokens(self, now: float) -> int:
        """Return the KV cache that answers in progress occupy, in tokens."""
        self._expire_streams(now)
        return sum(stream.tokens for stream in self._streams.values())

    def _expire_prefills(self, now: float) -> None:
        for name, work in tuple(self._prefills.items()):
            if now - work.added_at > PREFILL_EXPIRY_S + PREFILL_EXPIRY_FACTOR * work.work_s:
                self._prefills.pop(name)

    def _expire_streams(self, now: float) -> None:
        for name, stream in tuple(self._streams.items()):
            if now - stream.added_at > STREAM_EXPIRY_S:
                self._streams.pop(name)


__all__ = ('EngineLoad', 'PrefillWork', 'Stream')
