"""Probe of whether a runner has crashed, after a connection to it broke."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint.front.runners.connection_pool import ProbeOutcome

if TYPE_CHECKING:
    from sesamepoint.front.runners.connection_pool import ConnectionPool

# A probe of whether a runner has ended is reused for this long, in seconds: when a runner
# ends, all its requests fail at once. With a probe for each, one after the other, the last
# of 24 requests was answered 0.9 s later in a network where connections got no reply.
PROBE_TTL_S = 0.1
# A runner lives if a connection stays open for this long, in seconds. The system closes the listening socket of a
# process that ends after its other connections, and accepts some in between, which it then closes.
OPEN_FOR_S = 0.1
# How often a connection is tried that is neither refused nor stays open.
LIFE_PROBES = 3


class CrashProbe:
    """Finds out whether a runner still accepts connections."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Probe with new connections of ``pool``."""
        # Whether a probe found that the runner had ended.
        self.ended = False
        self._pool = pool
        self._probed_at = -math.inf
        # When the latest probe began that was not refused.
        self._accepted_at = -math.inf
        self._refused = False
        self._lock = trio.Lock()
        # When the latest probe began that found it alive.
        self._alive_at = -math.inf
        self._life_lock = trio.Lock()

    async def probe_life(self, since: float) -> ProbeOutcome:
        """Find out whether the runner lives: whether a connection that it accepts after ``since`` stays open."""
        async with self._life_lock:
            if self._alive_at >= since:
                return ProbeOutcome.open
            outcome = ProbeOutcome.not_open
            for _ in range(LIFE_PROBES):
                began = trio.current_time()
                outcome = await self._pool.probe_open(OPEN_FOR_S)
                if outcome is not ProbeOutcome.not_open:
                    break
            if outcome is ProbeOutcome.open:
                self._alive_at = began
            self.ended = self.ended or outcome is ProbeOutcome.refused
            return outcome

    async def refused(self, since: float = 0) -> bool:
        """Tell whether the runner refuses a new connection.

        Parameters
        ----------
        since
            Time on trio's clock from which the runner must have accepted a connection. One that it accepted earlier
            doesn't show that it is still there.
        """
        async with self._lock:
            if self._must_probe(since):
                began = trio.current_time()
                self._refused = await self._pool.probe_refused()
                self._accepted_at = -math.inf if self._refused else began
                self._probed_at = trio.current_time()
            self.ended = self.ended or self._refused
            return self._refused

    def _must_probe(self, since: float) -> bool:
        if trio.current_time() - self._probed_at > PROBE_TTL_S:
            return True
        return not self._refused and self._accepted_at < since


__all__ = ('CrashProbe',)
