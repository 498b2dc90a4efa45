"""Bounded history of this process's decisions, for ``sesamectl explain``."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import trio

MAX_DECISIONS = 500


class Decision(NamedTuple):
    """One decision, its inputs and the alternatives that were rejected.

    Parameters
    ----------
    decided_at
        Time of the decision, in seconds on this process's clock.
    kind
        Type of the decision, such as ``role`` or ``refusal``.
    subject
        The fleet, runner or request class concerned.
    choice
        What was chosen, as one line of text.
    inputs
        Numbers that the decision is based on, by name.
    alternatives
        The other options, each with its score.
    version
        Configuration version in force.
    fence
        Fencing number of the lease held; -1 if the decision needs no lease.
    """

    decided_at: float
    kind: str
    subject: str
    choice: str
    inputs: dict[str, float]
    alternatives: tuple[tuple[str, float], ...]
    version: int
    fence: int


class DecisionHistory:
    """Bounded history of decisions, without consecutive repeats for a subject."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._history: deque[Decision] = deque(maxlen=MAX_DECISIONS)

    def add(self, decision: Decision) -> None:
        """Add ``decision`` with the current time, unless it repeats the last one of its kind and subject."""
        earlier = (
            kept for kept in reversed(self._history) if (kept.kind, kept.subject) == (decision.kind, decision.subject)
        )
        last = next(earlier, None)
        if last is None or (last.choice, last.version) != (decision.choice, decision.version):
            self._history.append(decision._replace(decided_at=trio.current_time()))

    def newest(self) -> tuple[Decision, ...]:
        """Return all decisions in the history, newest last."""
        return tuple(self._history)


__all__ = ('Decision', 'DecisionHistory')
