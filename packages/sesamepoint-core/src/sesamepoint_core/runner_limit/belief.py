"""What is believed of the limit that one start of a runner names."""

from __future__ import annotations

import math
from typing import NamedTuple

from sesamepoint_core.bounded import forget_oldest
from sesamepoint_core.decimals import plain_decimal
from sesamepoint_core.runner_limit.stamp import Stamp

# More digits name no limit that anybody could mean.
MAX_TEXT = 32
# Without a word in this time, in seconds, and answers without one, the limit is over.
END_AFTER_S = 0.5
# Until a runner has answered an instance for the first time, that one has no more
# requests there at a time: it can't know yet whether there is a limit.
FIRST_SENDS = 2
# A runner that takes nothing answers nothing, so nobody would hear that it takes
# requests again: after so many seconds it gets one, and another after each such time.
ZERO_BELIEVED_S = 10.0
# A limit that has ended grows from there, doubling in this time, in seconds: what
# made the runner name it may come back with the load.
DOUBLING_S = 1.0
# After this many doublings it is dropped.
DOUBLINGS = 6
# Starts of instances whose newest word is remembered.
REMEMBERED = 2048
# Requests a second that a limit which has ended grows from at least.
LEAST_AFTER = 1.0


class LimitWord(NamedTuple):
    """The newest word on a runner's limit.

    Parameters
    ----------
    origin
        Who heard it, and when by its own clock.
    rate
        Requests a second from all instances together.
    heard_at
        When an answer named it last, on this instance's clock.
    ended_at
        When an answer came that named none any more; None while it lasts.
    """

    origin: Stamp
    rate: float
    heard_at: float
    ended_at: float | None = None

    @property
    def newest_at(self) -> float:
        """Return when this became known."""
        return self.heard_at if self.ended_at is None else self.ended_at

    @property
    def says(self) -> tuple[float, bool]:
        """Return the limit, and whether it lasts."""
        return self.rate, self.ended_at is None


class LimitBelief:
    """Takes in words of answers and of other instances; the newest counts.

    How long a word was under way is not known, so that a late one seems younger
    than it is. Each is taken once: told to and fro it would stay young for ever.
    """

    def __init__(self, start: int) -> None:
        """Know of no limit; ``start`` is the number of this start of the instance."""
        self.word: LimitWord | None = None
        self._start = start
        self._seen: dict[int, float] = {}

    def named(self, rate: float, now: float) -> bool:
        """Take the limit of an answer; returns whether it is another one than before."""
        before = self.word
        self.word = LimitWord(Stamp(self._start, now), rate, now)
        return before is None or before.says != self.word.says

    def unnamed(self, sent_at: float, now: float) -> bool:
        """Take an answer that names none, to a request of ``sent_at``; returns whether the limit has ended.

        Answers overtake each other: one to an earlier request may have been
        made before the limit was named.
        """
        word = self.word
        if word is None or word.ended_at is not None:
            return False
        if sent_at <= word.heard_at or now - word.heard_at < END_AFTER_S:
            return False
        self.word = word._replace(origin=Stamp(self._start, now), ended_at=now)
        return True

    def told(self, word: LimitWord) -> bool:
        """Take the word of another instance if it is newer; returns whether it changes what is believed."""
        if self._has_seen(word.origin):
            return False
        before = self.word
        if before is not None and word.newest_at <= before.newest_at:
            return False
        self.word = word
        return before is None or before.says != word.says

    def allowed(self, now: float) -> float | None:
        """Return the requests a second that the runner takes from all instances; None if it names no limit."""
        word = self.word
        if word is None:
            return None
        if word.ended_at is not None:
            return self._after(word, now - word.ended_at)
        if word.rate == 0 and now - word.heard_at > ZERO_BELIEVED_S:
            return 1 / ZERO_BELIEVED_S
        return word.rate

    def _has_seen(self, origin: Stamp) -> bool:
        if origin.start == self._start or origin.at <= self._seen.get(origin.start, -math.inf):
            return True
        self._seen.pop(origin.start, None)
        self._seen[origin.start] = origin.at
        forget_oldest(self._seen, REMEMBERED)
        return False

    def _after(self, word: LimitWord, since_s: float) -> float | None:
        doublings = since_s / DOUBLING_S
        if doublings > DOUBLINGS:
            self.word = None
            return None
        return max(word.rate, LEAST_AFTER) * math.pow(2, doublings)


def parse_rate(text: str) -> float:
    """Return the requests a second that ``text`` names, a plain decimal number.

    Raises
    ------
    ValueError
        If it is anything else.
    """
    rate = plain_decimal(text)
    if len(rate) > MAX_TEXT:
        raise ValueError('too long for a limit')
    return float(rate)


__all__ = ('FIRST_SENDS', 'LimitBelief', 'LimitWord', 'parse_rate')
