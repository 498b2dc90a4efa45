"""What runners say of themselves, heard in one place from all their answers."""

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

# Starts of runners of which something is remembered; the oldest are forgotten first. A
# day has some hundred.
REMEMBERED = 4096
# A runner may say something that does not decode in each answer; there is one line for
# each kind of its words in this time, in seconds.
UNREADABLE_EVERY_S = 10.0
# Where word of something comes from that this instance has heard itself.
FROM_ANSWER = 'answer'
# Of a start that has said nothing; never written to.
NOTHING_SAID = Belief()


class RunnerWords:
    """Folds what answers say into what is believed of each start of a runner."""

    def __init__(self, limits: RunnerLimits) -> None:
        """Believe nothing; limits are kept by ``limits``."""
        self.limits = limits
        # Called when a start says in an answer that it leaves.
        self.on_leaving: Callable[[Start], None] | None = None
        # Called when a start asks this instance for so many seconds of rest.
        self.on_rest: Callable[[Start, float], None] | None = None
        self._beliefs: dict[Start, Belief] = {}
        self._unreadable_at: dict[tuple[Start, str], float] = {}

    def note_answer(self, start: Start, head: ResponseHead, sent_at: float) -> None:
        """Take what the head of an answer to a request of ``sent_at`` says of the runner of ``start``.

        If another one has its address by now the words are that one's, known here yet or not.
        """
        named = answered_by(head, start.runner)
        if named != start.runner:
            if not 0 < len(named) <= MAX_NAME:
                return
            start = Start(named)
        if start in self._beliefs and head.status != UNAVAILABLE:
            self._beliefs[start].drop_hint()
        for word in words_of(head):
            self.take(word, start, sent_at)

    def belief_of(self, start: Start) -> Belief:
        """Return what is believed of the runner of ``start``, to read."""
        return self._beliefs.get(start, NOTHING_SAID)

    def leaving(self) -> list[Start]:
        """Return all starts of which that is known, also of such as have gone."""
        return [start for start, belief in self._beliefs.items() if belief.leaving]

    def forget(self, start: Start) -> None:
        """Drop what was said by a start that has been followed by another one."""
        belief = self._beliefs.pop(start, None)
        if belief is not None:
            events.log_event(
                events.WORDS_FORGOTTEN,
                runner=start.runner,
                born_ms=start.born_ms,
                leaving=belief.leaving,
                rest_left_s=round(belief.rest_left_s(trio.current_time()), 3),
            )

    def note_leaving(self, start: Start, source: str, age_s: float) -> bool:
        """Take that a runner leaves, as ``source`` heard ``age_s`` seconds before; returns whether that is news."""
        news = self._belief(start).leave()
        if news:
            events.log_event(
                events.LEAVING_SAID,
                runner=start.runner,
                born_ms=start.born_ms,
                source=source,
                age_s=round(age_s, 3),
            )
        return news

    def told_rest(self, start: Start, for_s: float, source: str) -> None:
        """Take that a runner has asked another instance for rest."""
        if self._belief(start).hint(for_s, trio.current_time()):
            events.log_event(events.REST_TOLD, runner=start.runner, born_ms=start.born_ms, for_s=for_s, source=source)

    @singledispatchmethod
    def take(self, word: RunnerWord, start: Start, sent_at: float) -> None:
        """Take one word of the runner of ``start``."""
        raise NotImplementedError(f'nothing is done with {word!r}; register what is')

    @take.register(Leaves)
    def _take_leaves(self, _: Leaves, start: Start, sent_at: float) -> None:
        if self.note_leaving(start, FROM_ANSWER, 0) and self.on_leaving is not None:
            self.on_leaving(start)

    @take.register(Rests)
    def _take_rests(self, word: Rests, start: Start, sent_at: float) -> None:
        now = trio.current_time()
        belief = self._belief(start)
        known_s = belief.rest_left_s(now)
        if belief.rest(word.for_s, now):
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
        """Return what is believed of ``start``, to add to it."""
        found = self._beliefs.get(start)
        if found is None:
            found = Belief()
            self._beliefs[start] = found
            forget_oldest(self._beliefs, REMEMBERED)
        return found


__all__ = ('FROM_ANSWER', 'RunnerWords')
