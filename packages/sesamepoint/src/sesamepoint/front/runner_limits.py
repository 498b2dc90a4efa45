"""The limits that runners name in their answers, as far as they are known here."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_limit.belief import LimitBelief
from sesamepoint import events
from sesamepoint.front.job import successful
from sesamepoint.platform.headers import replaced, signed
from sesamepoint.platform.runner_limit import Named, named_limit

if TYPE_CHECKING:
    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.http1.messages import ResponseHead

# A runner may name another limit in each answer; there is one line a runner in
# this time, in seconds.
LINE_EVERY_S = 1.0
# The same for limits that can't be read.
UNREADABLE_EVERY_S = 10.0


class RunnerLimits:
    """What is known of the limit of each start of a runner."""

    def __init__(self) -> None:
        """Know of none."""
        self._beliefs: dict[Start, LimitBelief] = {}
        self._lines = _Lines()

    def count(self) -> int:
        """Return how many runners name a limit."""
        now = trio.current_time()
        return sum(belief.allowed(now) is not None for belief in self._beliefs.values())

    def note_answer(self, start: Start, head: ResponseHead, sent_at: float) -> None:
        """Take what an answer to a request of ``sent_at`` says of the limit of its runner."""
        if replaced(head, start.runner):
            # It is the word of another one that has its address by now.
            return
        named = named_limit(head)
        if named.unreadable:
            self._lines.unreadable(start, named)
        if named.rate is not None:
            self._note_named(start, named.rate)
        elif named.silent and start in self._beliefs and successful(head.status) and signed(head):
            self._note_silent(start, sent_at)

    def _note_named(self, start: Start, rate: float) -> None:
        belief = self._beliefs.setdefault(start, LimitBelief())
        if belief.named(rate, trio.current_time()):
            self._lines.named(start, rate)

    def _note_silent(self, start: Start, sent_at: float) -> None:
        if self._beliefs[start].unnamed(sent_at, trio.current_time()):
            events.log_event(events.LIMIT_ENDED, runner=start.runner, source='answer')


class _Lines:
    """Writes what is learned of limits, bounded for each runner."""

    def __init__(self) -> None:
        self._named_at: dict[Start, float] = {}
        self._unreadable_at: dict[Start, float] = {}

    def named(self, start: Start, rate: float) -> None:
        if self._due(self._named_at, start, LINE_EVERY_S):
            events.log_event(events.LIMIT_NAMED, runner=start.runner, rate=rate, source='answer')

    def unreadable(self, start: Start, named: Named) -> None:
        if self._due(self._unreadable_at, start, UNREADABLE_EVERY_S):
            events.log_event(events.LIMIT_UNREADABLE, runner=start.runner, text=named.unreadable)

    def _due(self, written: dict[Start, float], start: Start, every_s: float) -> bool:
        now = trio.current_time()
        if now - written.get(start, -math.inf) < every_s:
            return False
        written[start] = now
        return True


__all__ = ('RunnerLimits',)
