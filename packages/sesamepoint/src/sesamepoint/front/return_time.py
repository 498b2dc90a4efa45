"""When a refused caller should come back."""

from __future__ import annotations

# Callers heed no more than this share of the time that they have left.
MAX_SHARE = 1 / 3
# What a caller is taken to have left that named no deadline, in seconds.
UNNAMED_S = 3.0


def when_unknown_s(left_s: float | None) -> float:
    """Return when to come back if nobody knows when there will be an engine.

    A caller comes back once or a few times, so a return must not be spent
    while what keeps it from being served still lasts: a store that shows no
    runners was away for seconds each time. Told to come back after 0.1 s,
    callers came back to the same refusal after a loss of all entries: of some
    260 that were refused over a hundred were never served. It is a share of
    the caller's own time, so those that have more come later, when more is up.
    """
    known_s = UNNAMED_S if left_s is None else left_s
    return MAX_SHARE * max(known_s, 0)


def hold_s(left_s: float | None, first_left_s: float) -> float:
    """Return how long to keep a request while no runner is known yet.

    An entry that has just started mostly knows its runners within a tenth of
    a second, and a caller that came back has no other chance. No longer than
    half of the time for which its caller waits for a first sign.
    """
    return min(when_unknown_s(left_s), first_left_s / 2)


def heeded_s(wait_s: float, left_s: float) -> float:
    """Return when to come back after ``wait_s``, as far as callers heed it."""
    return min(wait_s, when_unknown_s(left_s))


__all__ = ('heeded_s', 'hold_s', 'when_unknown_s')
