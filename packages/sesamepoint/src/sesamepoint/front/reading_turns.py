"""When an entry reads a topic of the store itself, and when a peer's reading will do.

Each entry that read all topics for itself made the calls to the store, and
the bytes that it sends, grow with the number of entries: 68 entries made 5,000
calls in a minute and a half. Here one entry at a time reads and tells the
others what has changed. Nobody is elected: whoever has heard nothing of a
topic for a while reads it, so that a reader that has died, is frozen or is
cut off is missed by nobody for longer than that.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

# An entry reads so many times in a row before it leaves the next reading to
# another: the costs of a reader go round within some minutes, and the reader of
# the entries' list has the time to miss one.
READS_IN_A_ROW = 100
# Even if peers tell everything, each entry looks into the store itself after
# this many seconds: what peers told wrongly lasts no longer.
CHECK_S = 60.0
# What a reading may take longer than usual before others begin to read too,
# in seconds: a call of 4 ms, a datagram, and as much again for a busy reader.
MARGIN_S = 0.1
# After word that there is news, entries read it within this many seconds.
NEWS_SPREAD_S = 0.05


class Pacing(NamedTuple):
    """How often a topic is read.

    Parameters
    ----------
    wait_s
        How long the store may hold a call until there is news. Bounds how
        long a connection that has silently died goes unnoticed.
    rest_s
        Pause after each answer, so that busy topics cost few calls.
    spread_s
        When the reader falls silent, the others draw from this span when to
        read in its place.
    """

    wait_s: float
    rest_s: float
    spread_s: float


class ReadingTurns:
    """Decides for one topic; without any input or output of its own.

    Parameters
    ----------
    name
        The name of this entry.
    entries
        Returns how many entries there are.
    """

    def __init__(self, pacing: Pacing, name: str, entries: Callable[[], int], rng: Random) -> None:
        """Read at once; nothing is known yet."""
        self.due: float = 0
        self.end: int | None = None
        self._pacing = pacing
        self._name = name
        self._entries = entries
        self._rng = rng
        self._in_a_row = 0
        self._own_turn = False
        self._hinted = False
        self._check_at: float = 0

    @property
    def reads_for_all(self) -> bool:
        """Tell whether it is this entry's turn to read."""
        return self._own_turn

    def begin(self) -> None:
        """Note that this entry is about to call the store."""
        self._own_turn = self._own_turn or not self._hinted

    def forget(self) -> None:
        """Start over: the history since the last reading is gone."""
        self.end = None

    def listed(self, end: int, now: float) -> None:
        """Note that the whole topic was read, up to the offset ``end``.

        What comes next is read at once: after a loss of all entries, and of
        the list with them, runners register in these moments.
        """
        self._was_read(end, now)
        self._leave_off()
        self._hinted = True
        self.due = now

    def read(self, end: int, now: float) -> bool:
        """Note that this entry read the log up to ``end``; returns whether to tell the others.

        They need not be told by all that read at the word of one, nor by who
        left off while the store answered.
        """
        tells = self._own_turn
        self._was_read(end, now)
        self._in_a_row += 1
        if self._entries() > 1 and (not tells or self._in_a_row >= READS_IN_A_ROW):
            self._leave_off()
            self.due = now + self._silence_s()
        else:
            self.due = now + self._pacing.rest_s
        return tells

    def failed(self, again_s: float, now: float) -> None:
        """Note that the store did not answer; try again after ``again_s``.

        It may refuse this instance alone: if others go on telling, this one
        stops calling.
        """
        self._leave_off()
        self.due = now + again_s

    def told(self, teller: str, start: int, end: int, now: float) -> bool:
        """Note that ``teller`` has read from ``start`` up to ``end``.

        Returns whether what it told follows on what is known here. What a
        peer tells late, after a freeze or by a slow path, ends before what is
        known by then and counts for nothing.
        """
        if self.end is None or end < self.end:
            return False
        if start > self.end:
            self.hint(now)
            return False
        self.end = end
        self._hinted = False
        if self._own_turn and teller > self._name:
            # Two read at the same time; the other one leaves off.
            return True
        self._leave_off()
        self.due = now + self._silence_s()
        if self._check_at <= self.due:
            # A look of its own is nobody's turn, and nothing to tell of.
            self._hinted = True
            self.due = max(self._check_at, now)
        return True

    def hint(self, now: float) -> None:
        """Note that there is news that this entry has to read itself."""
        self._hinted = True
        self.due = min(self.due, now + self._rng.uniform(0, NEWS_SPREAD_S))

    def _leave_off(self) -> None:
        self._own_turn = False
        self._in_a_row = 0

    def _was_read(self, end: int, now: float) -> None:
        self._hinted = False
        self.end = max(end, self.end or 0)
        self._check_at = now + CHECK_S

    def _silence_s(self) -> float:
        """Return how long to hear nothing before reading oneself.

        The span's end is drawn exponentially oftener than its beginning, so
        that of any number of entries about one is first, by so much that its
        word is there before the next one's turn (as receivers of a multicast
        suppress each other's feedback).
        """
        steepness = 1 + math.log(max(self._entries(), 1))
        drawn = math.log1p(self._rng.random() * math.expm1(steepness)) / steepness
        pacing = self._pacing
        return pacing.wait_s + pacing.rest_s + MARGIN_S + pacing.spread_s * drawn


__all__ = ('Pacing', 'ReadingTurns')
