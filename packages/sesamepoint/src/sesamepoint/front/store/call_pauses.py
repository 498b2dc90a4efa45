"""When an instance repeats a failed call for one topic of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.store_pacing.backoff import Backoff, RetryLimits
from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sesamepoint.front.store.store_pacer import StorePacer

# Range of the random pause before a failed call is repeated while this instance
# can't serve without the answer, in seconds: spreads the load on a store that
# recovers.
URGENT_RETRY_RANGE_S = (0.1, 0.4)
# Longest pause after the first failure of an instance that holds a state, in
# seconds, if it is alone.
FIRST_RETRY_S = 0.1


class CallPauses:
    """Pauses between the failed calls for one topic, and whether the store answers them."""

    def __init__(
        self, topic: str, longest_s: float, pacer: StorePacer, urgent: Callable[[], bool], rng: Random
    ) -> None:
        """Pause for up to ``longest_s`` seconds; an instance that can't serve without an answer is ``urgent``."""
        self.backoff = Backoff(RetryLimits(FIRST_RETRY_S, longest_s), rng)
        # Time before which this instance does not repeat a failed call.
        self.retry_at: float = 0
        self.reachable = True
        self._topic = topic
        self._pacer = pacer
        self._urgent = urgent
        self._rng = rng

    @property
    def failing(self) -> bool:
        """Tell whether the latest call has failed."""
        return bool(self.backoff.failures) or not self.reachable

    def earliest(self) -> float:
        """Return the time before which no call is to begin."""
        return 0 if self._urgent() else max(self.retry_at, self._pacer.not_before())

    def note_failed(self, cause: str, began_at: float) -> float:
        """Note that a call, begun at ``began_at``, has failed; return the pause after it, in seconds."""
        if self.reachable:
            events.log_event(events.STORE_UNREACHABLE, topic=self._topic, cause=cause)
        self.reachable = False
        if self._urgent():
            pause_s = self._rng.uniform(*URGENT_RETRY_RANGE_S)
        else:
            pause_s = self.backoff.next_pause_s(self._pacer.affected_instances(began_at))
        self.retry_at = trio.current_time() + pause_s
        self._pacer.note_failed(began_at)
        return pause_s

    def note_answered(self, end: int | None) -> None:
        """Note that the store has answered; the topic is known up to ``end``."""
        if not self.reachable:
            events.log_event(events.STORE_REACHABLE, topic=self._topic, end=end)
        self.reachable = True
        self.reset()

    def reset(self) -> None:
        """Begin with the shortest pause again."""
        self.backoff.reset()
        self.retry_at = 0

    def repace(self, longest_s: float) -> None:
        """Apply another longest pause, in seconds."""
        self.backoff = Backoff(RetryLimits(FIRST_RETRY_S, longest_s), self._rng)


__all__ = ('CallPauses',)
