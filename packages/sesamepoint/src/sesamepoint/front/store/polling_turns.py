"""Turns at polling a topic of the store: one instance polls and sends the changes to its peers.

When each instance polled all topics itself, the calls to the store and the
bytes that it sent grew with the number of instances: 68 instances made 5,000
calls in a minute and a half. There is no election: an instance that has received
no update of a topic for a while polls it. So if the polling instance dies,
freezes or is cut off, the others are without updates for no longer than that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.store_pacing.suppression import draw_suppressing_share

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

# Polls in a row before an instance leaves the next one to a peer: the cost of
# polling goes round within some minutes, and the instance that polls the list of
# instances has the time to detect a failed one.
POLLS_PER_TURN = 100
# Each instance polls the store itself after this many seconds, even if it receives
# all updates: a wrong update from a peer is corrected by then.
SELF_CHECK_S = 60.0
# How much longer than usual a poll may take before peers poll too, in seconds: a
# call of 4 ms, a datagram, and as much again if the polling instance is busy.
TAKEOVER_MARGIN_S = 0.1
# Longest pause before a failed call is repeated, in seconds, for topics without a
# time within which changes must be known.
LONGEST_RETRY_S = 2.0
# Such topics wait for the timeout of a call, in seconds.
LONGEST_SILENCE_S = 1.0
# After a hint that there are changes, an instance polls the store within this
# many seconds.
POLL_JITTER_S = 0.05


class Pacing(NamedTuple):
    """Intervals for polling a topic.

    Parameters
    ----------
    long_poll_s
        How long the store may hold a call until there are changes, in seconds.
        Bounds how long a connection that has silently died goes unnoticed.
    pause_s
        Pause after each answer, in seconds, so that busy topics cost few calls.
    takeover_spread_s
        When the updates cease, the peers poll after a random delay within this
        time, in seconds.
    longest_retry_s
        Longest pause before a failed call is repeated, in seconds.
    silence_s
        How long a held call may be silent beyond its wait before another way to the store is tried, in seconds.
    """

    long_poll_s: float
    pause_s: float
    takeover_spread_s: float
    longest_retry_s: float = LONGEST_RETRY_S
    silence_s: float = LONGEST_SILENCE_S


class PollingTurns:
    """Decides when this instance polls one topic; does no input or output.

    Parameters
    ----------
    name
        The name of this instance.
    instance_count
        Returns the number of instances, including this one.
    """

    def __init__(self, pacing: Pacing, name: str, instance_count: Callable[[], int], rng: Random) -> None:
        """Make the first poll due at once, with no offset known."""
        self.due: float = 0
        self.end: int | None = None
        # Whether the next poll is for changes that a peer has announced.
        self.hinted = False
        self.pacing = pacing
        self._name = name
        self._instance_count = instance_count
        self._rng = rng
        self._polls_in_turn = 0
        self._has_turn = False
        self._polls_for_itself = False
        self._check_at: float = 0

    @property
    def polls_for_all(self) -> bool:
        """Tell whether this instance polls the topic for all."""
        return self._has_turn

    def repace(self, pacing: Pacing) -> None:
        """Apply other intervals from the next poll on."""
        self.pacing = pacing

    def begin_poll(self) -> None:
        """Note that this instance is about to call the store."""
        self._has_turn = self._has_turn or not self._polls_for_itself

    def reset(self) -> None:
        """Start over: the history since the last poll is gone."""
        self.end = None

    def note_listed(self, end: int, now: float) -> None:
        """Note that the whole topic was read, up to the offset ``end``.

        The next poll is due at once: after a failure of all instances, in
        which the list is lost as well, the runners register just then.
        """
        self._note_position(end, now)
        self._end_turn()
        self._polls_for_itself = True
        self.due = now

    def note_polled(self, end: int, now: float) -> bool:
        """Note that this instance polled the log up to ``end``; return whether to send an update.

        An instance that polled because of a hint sends none, as all others got
        the same hint; nor does one whose turn ended while the store answered.
        """
        broadcasts = self._has_turn
        self._note_position(end, now)
        self._polls_in_turn += 1
        if self._instance_count() > 1 and (not broadcasts or self._polls_in_turn >= POLLS_PER_TURN):
            self._end_turn()
            self.due = now + self._takeover_delay_s()
        else:
            self.due = now + self.pacing.pause_s
        return broadcasts

    def note_failed(self, retry_s: float, now: float) -> None:
        """Note that the store did not answer; poll again after a pause.

        The store may refuse this instance alone: if updates from peers arrive
        meanwhile, this instance stops calling. If none arrive, nobody polls for all: its next poll does, and may read
        the whole list if reads of the log are silent, which a poll after a hint may not.
        """
        self._end_turn()
        self._polls_for_itself = False
        self.hinted = False
        self.due = now + retry_s

    def note_update(self, sender: str, start: int, end: int, now: float) -> bool:
        """Note an update from a peer that polled from ``start`` up to ``end``.

        Return whether the update follows on the offset that is known here. An
        update that arrives late, after a freeze or over a slow path, ends before
        that offset and is ignored.
        """
        if self.end is None or end < self.end:
            return False
        if start > self.end:
            self.request_poll(now)
            return False
        self.end = end
        self._polls_for_itself = False
        if self._has_turn and sender > self._name:
            # Two instances poll at the same time; the other one ends its turn.
            return True
        self._end_turn()
        self.due = now + self._takeover_delay_s()
        if self._check_at <= self.due:
            # A check by this instance alone is no polling turn, and sends no update.
            self._polls_for_itself = True
            self.due = max(self._check_at, now)
        return True

    def leaves_gap(self, start: int) -> bool:
        """Tell whether an update from ``start`` leaves out records that are not known here.

        An instance whose store was restored has no offset until it has read the list, which the store may refuse it.
        """
        return self.end is None or start > self.end

    def request_poll(self, now: float) -> None:
        """Make a poll due soon, for changes that no update contains."""
        self._polls_for_itself = True
        self.hinted = True
        self.due = min(self.due, now + self._rng.uniform(0, POLL_JITTER_S))

    def _end_turn(self) -> None:
        self._has_turn = False
        self._polls_in_turn = 0

    def _note_position(self, end: int, now: float) -> None:
        self._polls_for_itself = False
        self.hinted = False
        self.end = max(end, self.end or 0)
        self._check_at = now + SELF_CHECK_S

    def _takeover_delay_s(self) -> float:
        """Return how long to go without an update before taking over the polling, in seconds."""
        drawn = draw_suppressing_share(self._instance_count(), self._rng)
        pacing = self.pacing
        return pacing.long_poll_s + pacing.pause_s + TAKEOVER_MARGIN_S + pacing.takeover_spread_s * drawn


__all__ = ('Pacing', 'PollingTurns')
