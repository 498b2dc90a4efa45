"""How long an attempt waits for the first output of its runner, what ends it then, and pauses in its answer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

# A runner whose process ends takes longer to start again, and an engine in use makes events faster, in seconds.
MIN_SILENCE_S = 0.25
# What a cut has held up arrives within this time once it has healed, the end of the connection included, in seconds.
BURST_S = 1.0


class RunnerSilentError(Exception):
    """A runner gave no output in time, and its request goes to another one."""


class Patience:
    """Asks whether a request may move to another runner before its attempt at a silent one is ended.

    A runner that works longer than expected would have answered. When attempts ended first, and the retry budget denied
    the next send, callers got a 502 while their runner was at work.

    Parameters
    ----------
    silence_s
        Seconds without output until the question is asked, and between two of them.
    """

    def __init__(self, silence_s: float) -> None:
        """Wait without a limit until :meth:`begin`."""
        self.deadline = math.inf
        # Whether the time passed without output at least once.
        self.expired = False
        # Called when it does so first.
        self.on_silence: Callable[[], None] | None = None
        # Tells whether another send may be made, and pays for it; without it, it always may.
        self.may_move: Callable[[], bool] | None = None
        self._silence_s = silence_s

    def begin(self, deadline: float) -> None:
        """Ask from ``deadline`` on, on trio's clock."""
        self.deadline = deadline

    def end(self) -> None:
        """Stop asking, since there is output."""
        self.deadline = math.inf

    def expire(self) -> None:
        """Decide at the deadline, and set the next one.

        Raises
        ------
        RunnerSilentError
            If the attempt is to be ended.
        """
        if not self.expired and self.on_silence is not None:
            self.on_silence()
        self.expired = True
        if self.may_move is None or self.may_move():
            raise RunnerSilentError
        self.deadline = trio.current_time() + self._silence_s


class RecentSilence:
    """Pauses between the parts of one answer; the wait for the first part is none."""

    def __init__(self) -> None:
        """Start before the first part."""
        self._part_at = math.inf
        self._ended_at = -math.inf

    def note_part(self, now: float) -> None:
        """Note that a part, or the end, has come."""
        if now - self._part_at >= MIN_SILENCE_S:
            self._ended_at = now
        self._part_at = now

    def before_end(self, now: float) -> bool:
        """Return whether the answer, which ends now, was silent shortly before."""
        self.note_part(now)
        return now - self._ended_at <= BURST_S


__all__ = ('Patience', 'RecentSilence', 'RunnerSilentError')
