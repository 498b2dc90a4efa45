"""Known status of all runners, from the heads of their answers."""

from __future__ import annotations

import math
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.bounded import forget_oldest
from sesamepoint_core.runner_words.belief import Belief
from sesamepoint_core.runner_words.words import Leaves, Limits, NoLimit, Rests, Unreadable
from sesamepoint_core.serving.suspects import MAX_NAME, Start
from sesamepoint import events
from sesamepoint.platform.headers import answered_by
from sesamepoint.platform.runner_words import UNAVAILABLE, words_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.runner_words.words import RunnerWord
    from sesamepoint.front.runner_limits import RunnerLimits
    from sesamepoint.http1.messages import ResponseHead

# Number of incarnations of runners whose status is kept; the oldest are dropped first. A day
# has a few hundred.
REMEMBERED = 4096
# Least time between two log lines about an undecodable header of one kind from one runner,
# in seconds: each answer may have one.
UNREADABLE_EVERY_S = 10.0
# The source in log lines for what an answer to this instance reported.
FROM_ANSWER = 'answer'
# Status of an incarnation that has reported nothing; never modified.
NOTHING_SAID = Belief()


class RunnerWords:
    """Keeps the status of each incarnation of a runner up to date from status headers."""

    def __init__(self, limits: RunnerLimits) -> None:
        """Start without any status; rate limits are kept by ``limits``."""
        self.limits = limits
        # Called when an incarnation reports in an answer that it is draining.
        self.on_leaving: Callable[[Start], None] | None = None
        # Called when an incarnation asks this instance to back off for so many seconds.
        self.on_rest: Callable[[Start, float], None] | None = None
        self._beliefs: dict[Start, Belief] = {}
        self._unreadable_at: dict[tuple[Start, str], float] = {}

    def note_answer(self, start: Start, head: ResponseHead, sent_at: float) -> None:
        """Process the status headers in the answer to a request that was sent at ``sent_at``.

        If another runner has the address by now, the headers apply to that one, whether it
        is already known here or not.
        """
        named = answered_by(head, start.runner)
        if named != start.runner:
            if not 0 < len(named) <= MAX_NAME:
                return
            start = Start(named)
        if start in self._beliefs and head.status != UNAVAILABLE:
            self._beliefs[start].drop_hint()
        for header in words_of(head):
            self.take(header, start, sent_at)

    def belief_of(self, start: Start) -> Belief:
        """Return the known status of an incarnation, for reading only."""
        return self._beliefs.get(start, NOTHING_SAID)

    def leaving(self) -> list[Start]:
        """Return all incarnations known to be draining, including those that have gone."""
        return [incarnation for incarnation, status in self._beliefs.items() if status.leaving]

    def forget(self, start: Start) -> None:
        """Drop the status of an incarnation that has been followed by another one."""
        status = self._beliefs.pop(start, None)
        if status is not None:
            events.log_event(
                events.WORDS_FORGOTTEN,
                runner=start.runner,
                born_ms=start.born_ms,
                leaving=status.leaving,
                rest_left_s=round(status.rest_left_s(trio.current_time()), 3),
            )

    def note_leaving(self, start: Start, source: str, age_s: float) -> bool:
        """Mark a runner as draining, as ``source`` learned ``age_s`` seconds ago; return whether it was not marked."""
        changed = self._belief(start).leave()
        if changed:
            events.log_event(
                events.LEAVING_SAID,
                runner=start.runner,
                born_ms=start.born_ms,
                source=source,
                age_s=round(age_s, 3),
            )
        return changed

    def told_rest(self, start: Start, for_s: float, source: str) -> None:
        """Record that a runner has asked the peer ``source`` to back off for ``for_s`` seconds."""
        if self._belief(start).hint(for_s, trio.current_time()):
            events.log_event(events.REST_TOLD, runner=start.runner, born_ms=start.born_ms, for_s=for_s, source=source)

    @singledispatchmethod
    def take(self, word: RunnerWord, start: Start, sent_at: float) -> None:
        """Process one status header of a runner, in an answer to a request that was sent at ``sent_at``."""
        raise NotImplementedError(f'no handler for {word!r} is registered')

    @take.register(Leaves)
    def _take_leaves(self, _: Leaves, start: Start, sent_at: float) -> None:
        if self.note_leaving(start, FROM_ANSWER, 0) and self.on_leaving is not None:
            self.on_leaving(start)

    @take.register(Rests)
    def _take_rests(self, word: Rests, start: Start, sent_at: float) -> None:
        now = trio.current_time()
        status = self._belief(start)
        known_s = status.rest_left_s(now)
        if status.rest(word.for_s, now):
            events.log_event(
                events.REST_ASKED,
                runner=start.runner,
                born_ms=start.born_ms,
                for_s=word.for_s,
                known_s=round(known_s, 3),
            )
            if self.on_rest is not None:
                self.on_rest(start, word.for_s)

    @take.register(Limits)
    def _take_limits(self, word: Limits, start: Start, sent_at: float) -> None:
        self.limits.note_named(start, word.rate)

    @take.register(NoLimit)
    def _take_no_limit(self, _: NoLimit, start: Start, sent_at: float) -> None:
        self.limits.note_silent(start, sent_at)

    @take.register(Unreadable)
    def _take_unreadable(self, word: Unreadable, start: Start, sent_at: float) -> None:
        now = trio.current_time()
        key = (start, word.word)
        if now - self._unreadable_at.get(key, -math.inf) < UNREADABLE_EVERY_S:
            return
        self._unreadable_at.pop(key, None)
        self._unreadable_at[key] = now
        forget_oldest(self._unreadable_at, REMEMBERED)
        events.log_event(events.WORD_UNREADABLE, runner=start.runner, word=word.word, text=word.text)

    def _belief(self, start: Start) -> Belief:
        """Return the known status of an incarnation, for modifying; create it if there is none."""
        status = self._beliefs.get(start)
        if status is None:
            status = Belief()
            self._beliefs[start] = status
            forget_oldest(self._beliefs, REMEMBERED)
        return status


__all__ = ('FROM_ANSWER', 'RunnerWords')
