"""Known rate limit of one incarnation of a runner."""

from __future__ import annotations

import math
from typing import NamedTuple

from sesamepoint_core.bounded import forget_oldest
from sesamepoint_core.decimals import plain_decimal
from sesamepoint_core.runner_limit.stamp import Stamp

# Longest text of a rate, in characters; a longer one is rejected as meaningless.
MAX_TEXT = 32
# A limit ends when an answer without one comes at least so many seconds after the last
# answer that reported it.
END_AFTER_S = 0.5
# Most requests of one instance in flight at a runner that has not answered it yet: the
# instance can't know yet whether there is a limit.
FIRST_SENDS = 2
# A runner with a limit of 0 gets no requests, so no answer could report a higher limit:
# one request is sent as a probe each time so many seconds have passed.
ZERO_BELIEVED_S = 10.0
# After the end of a limit the allowed rate doubles in this time, in seconds: the cause
# of the limit may come back with the load.
DOUBLING_S = 1.0
# After this many doublings the limit is dropped.
DOUBLINGS = 6
# Incarnations of instances whose newest stamp is remembered.
REMEMBERED = 2048
# Lowest rate, in requests a second, from which an ended limit grows.
LEAST_AFTER = 1.0


class LimitWord(NamedTuple):
    """The newest report of a runner's rate limit.

    Parameters
    ----------
    origin
        The instance that received it, and when by its own clock.
    rate
        Requests a second from all instances together.
    heard_at
        When an answer last reported it, on this instance's clock.
    ended_at
        When an answer without a limit ended it; None while it is in force.
    """

    origin: Stamp
    rate: float
    heard_at: float
    ended_at: float | None = None

    @property
    def newest_at(self) -> float:
        """Return when the limit was last reported, or when it ended."""
        return self.heard_at if self.ended_at is None else self.ended_at

    @property
    def says(self) -> tuple[float, bool]:
        """Return the limit, and whether it is in force."""
        return self.rate, self.ended_at is None


class LimitBelief:
    """The newest limit reported by answers or by peers.

    The transit time of an update is unknown, so a late one seems newer than it is. Each
    update is therefore accepted once: sent back and forth it would always seem new.
    """

    def __init__(self, start: int) -> None:
        """Start without a limit, with the number of this incarnation of the instance."""
        self.word: LimitWord | None = None
        self._start = start
        self._seen: dict[int, float] = {}

    def named(self, rate: float, now: float) -> bool:
        """Record the limit that an answer reports; return whether it has changed."""
        before = self.word
        self.word = LimitWord(Stamp(self._start, now), rate, now)
        return before is None or before.says != self.word.says

    def unnamed(self, sent_at: float, now: float) -> bool:
        """Record that an answer to a request sent at ``sent_at`` has no limit; return whether this ends the limit.

        Answers can arrive out of order: the answer to an earlier request may have
        been made before the limit was reported.
        """
        reported = self.word
        if reported is None or reported.ended_at is not None:
            return False
        if sent_at <= reported.heard_at or now - reported.heard_at < END_AFTER_S:
            return False
        self.word = reported._replace(origin=Stamp(self._start, now), ended_at=now)
        return True

    def told(self, word: LimitWord) -> bool:
        """Record the update of a peer if it is newer; return whether the limit has changed."""
        if self._has_seen(word.origin):
            return False
        before = self.word
        if before is not None and word.newest_at <= before.newest_at:
            return False
        self.word = word
        return before is None or before.says != word.says

    def allowed(self, now: float) -> float | None:
        """Return the rate allowed to all instances together, in requests a second; None without a limit."""
        reported = self.word
        if reported is None:
            return None
        if reported.ended_at is not None:
            return self._after(reported, now - reported.ended_at)
        if reported.rate == 0 and now - reported.heard_at > ZERO_BELIEVED_S:
            return 1 / ZERO_BELIEVED_S
        return reported.rate

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
    """Parse a rate in requests a second, a plain decimal number.

    Raises
    ------
    ValueError
        If ``text`` is anything else, or longer than 32 characters.
    """
    rate = plain_decimal(text)
    if len(rate) > MAX_TEXT:
        raise ValueError('limit has too many characters')
    return float(rate)


__all__ = ('FIRST_SENDS', 'LimitBelief', 'LimitWord', 'parse_rate')
