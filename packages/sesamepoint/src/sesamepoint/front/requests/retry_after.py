"""Retry times for refused callers."""

from __future__ import annotations

# A retry time longer than this share of their remaining time is not heeded by callers.
MAX_WAIT_SHARE = 1 / 3
# Assumed remaining time of a caller that named no deadline, in seconds.
DEFAULT_DEADLINE_S = 3.0
# Retry-After where other instances can serve the retry at once, in seconds.
RETRY_ELSEWHERE_S = 0.02


def default_retry_after_s(left_s: float | None) -> float:
    """Return the retry time if it can't be forecast when a runner is available, in seconds.

    A caller retries once or a few times, so it should not retry before the cause
    of its refusal is over: a store without a list of runners was unavailable for
    seconds each time. With a retry time of 0.1 s callers met the same refusal
    again after a loss of all instances: of some 260 refused callers more than a
    hundred were never served. The time is a share of the caller's remaining time,
    so that callers with more time retry later, when more runners are up.

    Parameters
    ----------
    left_s
        Remaining time of the caller, in seconds; None if it named no deadline.
    """
    remaining_s = DEFAULT_DEADLINE_S if left_s is None else left_s
    return MAX_WAIT_SHARE * max(remaining_s, 0)


def max_hold_s(left_s: float | None, first_left_s: float) -> float:
    """Return for how many seconds to keep a request while no runner is known yet.

    An instance that has just started mostly knows its runners within 0.1 s, and a
    retry may be the last of its caller. The wait is at most half of the time for
    which the caller still waits for the start of an answer.

    Parameters
    ----------
    left_s
        Remaining time of the caller, in seconds; None if it named no deadline.
    first_left_s
        Remaining time for the start of an answer, in seconds; negative if it has passed, as after a long upload.
    """
    return max(min(default_retry_after_s(left_s), first_left_s / 2), 0)


def capped_retry_after_s(wait_s: float, left_s: float) -> float:
    """Return ``wait_s``, capped to the longest retry time that the caller heeds, in seconds."""
    return min(wait_s, default_retry_after_s(left_s))


__all__ = ('DEFAULT_DEADLINE_S', 'RETRY_ELSEWHERE_S', 'capped_retry_after_s', 'default_retry_after_s', 'max_hold_s')
