"""Work of an account: what it used, what it asked for, and how both decay."""

from __future__ import annotations

import math
from typing import NamedTuple

# Time constant of the decay of work, in seconds. It is longer than a request waits, so that
# work which was asked for and not yet used counts until the request is decided. Work from
# longer ago must not count against an account that used capacity nobody else wanted.
MEMORY_S = 5.0


class WorkGroup(NamedTuple):
    """Requests of one service and priority, among whose accounts capacity is divided.

    Parameters
    ----------
    priority
        Priority of the requests; 0 for all if no account has a priority.
    """

    service: str
    priority: int = 0


class Work(NamedTuple):
    """Decayed work of one or several accounts, in engine seconds or slot seconds.

    Parameters
    ----------
    used_s
        Work of the requests that were sent to runners.
    offered_s
        Work of all requests that were made, the refused ones included.
    """

    used_s: float = 0
    offered_s: float = 0

    def plus(self, other: Work) -> Work:
        """Return the sum of both."""
        return Work(self.used_s + other.used_s, self.offered_s + other.offered_s)

    def decayed(self, elapsed_s: float) -> Work:
        """Return what counts of it ``elapsed_s`` seconds later."""
        factor = math.exp(-max(elapsed_s, 0) / MEMORY_S)
        return Work(factor * self.used_s, factor * self.offered_s)


NO_WORK = Work()

__all__ = ('MEMORY_S', 'NO_WORK', 'Work', 'WorkGroup')
