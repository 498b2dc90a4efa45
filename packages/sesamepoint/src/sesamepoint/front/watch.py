"""Following a keyed topic of the platform's store."""

from __future__ import annotations

from itertools import cycle
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint import events
from sesamepoint.platform.store import HistoryGoneError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sesamepoint.platform.store import KeyedRecord, Newest, StoreClient

# Pause before a failed call is repeated, drawn from this span in seconds so
# that entries do not come back to a recovering store all at once.
RETRY_SPAN_S = (0.1, 0.4)
# How long a call for a whole topic may take, in turn, in seconds. A store that
# was silent stays so on calls from before it came back (with 1 s each, entries
# that had lost their list knew the runners 0.3 to 0.6 s after its return): a
# short wait finds it sooner, a long one in turn finds a store that is only slow.
FIRST_CALL_S = (0.5, 1.0)


class Pacing(NamedTuple):
    """How often a topic is asked for.

    Parameters
    ----------
    wait_s
        How long the store may hold a call until there is news. Bounds how
        long a connection that has silently died goes unnoticed.
    rest_s
        Pause after each answer, so that busy topics cost few calls.
    """

    wait_s: float
    rest_s: float


class Watch:
    """Reads a topic whole, then follows it; starts over if history is gone."""

    def __init__(self, store: StoreClient, topic: str, pacing: Pacing, rng: Random) -> None:
        """Follow ``topic`` at the rate of ``pacing``."""
        self._store = store
        self._topic = topic
        self._pacing = pacing
        self._rng = rng
        self._reachable = True
        self._patience_s = cycle(FIRST_CALL_S)

    async def run(
        self,
        replace_all: Callable[[tuple[KeyedRecord, ...]], None],
        update: Callable[[KeyedRecord], None],
    ) -> None:
        """Hand on the whole topic, then each record, until cancelled."""
        start: int | None = None
        while True:
            try:
                start = await self._step(start, replace_all, update)
            except HistoryGoneError:
                start = None
            except PlatformUnavailableError as exc:
                self._note_lost(exc)
                await trio.sleep(self._rng.uniform(*RETRY_SPAN_S))

    async def _step(
        self,
        start: int | None,
        replace_all: Callable[[tuple[KeyedRecord, ...]], None],
        update: Callable[[KeyedRecord], None],
    ) -> int:
        if start is None:
            found = await self._store.newest(self._topic, next(self._patience_s))
            self._note_reached(found)
            replace_all(found.records)
            return found.end
        found = await self._store.follow(self._topic, start, self._pacing.wait_s)
        self._note_reached(found)
        for record in found.records:
            update(record)
        await trio.sleep(self._pacing.rest_s)
        return found.end

    def _note_reached(self, found: Newest) -> None:
        if not self._reachable:
            events.log_event(events.STORE_REACHABLE, topic=self._topic, end=found.end)
        self._reachable = True

    def _note_lost(self, exc: PlatformUnavailableError) -> None:
        if self._reachable:
            events.log_event(events.STORE_UNREACHABLE, topic=self._topic, cause=str(exc))
        self._reachable = False


__all__ = ('Pacing', 'Watch')
