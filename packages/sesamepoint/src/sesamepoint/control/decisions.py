"""The last decisions of this process, for ``sesamectl explain``."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import trio

KEPT_DECISIONS = 500


class Decision(NamedTuple):
    """One choice, what it rested on, and what was turned down.

    Parameters
    ----------
    at
        Seconds on this process's clock.
    kind
        What was decided about, such as ``role`` or ``refusal``.
    subject
        The fleet, runner or class that it concerns.
    choice
        What was chosen, in a line.
    seen
        The figures it rested on.
    alternatives
        What else was weighed, with its score.
    version
        Configuration version in force.
    fence
        Fencing number it was made under; -1 where no lease is needed.
    """

    at: float
    kind: str
    subject: str
    choice: str
    seen: dict[str, float]
    alternatives: tuple[tuple[str, float], ...]
    version: int
    fence: int


class Decisions:
    """A bounded history; a choice that repeats itself is kept once."""

    def __init__(self) -> None:
        """Start empty."""
        self._kept: deque[Decision] = deque(maxlen=KEPT_DECISIONS)

    def add(self, decision: Decision) -> None:
        """Keep ``decision``, unless it repeats the last one on its subject."""
        same = (kept for kept in reversed(self._kept) if (kept.kind, kept.subject) == (decision.kind, decision.subject))
        last = next(same, None)
        if last is None or (last.choice, last.version) != (decision.choice, decision.version):
            self._kept.append(decision._replace(at=trio.current_time()))

    def newest(self) -> tuple[Decision, ...]:
        """Return the history, newest last."""
        return tuple(self._kept)


__all__ = ('Decision', 'Decisions')
