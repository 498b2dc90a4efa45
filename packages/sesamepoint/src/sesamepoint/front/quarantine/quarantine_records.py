"""Writer of the list of quarantined requests in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.store_pacing.backoff import Backoff, RetryLimits
from sesamepoint import events
from sesamepoint.platform.wire_names import QUARANTINE_TOPIC

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.quarantine.quarantine import Quarantine
    from sesamepoint.front.store.store_pacer import PacedStore

# How often expired quarantines are looked for, in seconds.
EXPIRY_CHECK_S = 60.0
# Each instance draws a delay up to this, in seconds, before it writes the records
# that the store has lost.
RESTORE_JITTER_S = 5.0
# Pauses before a failed write is repeated, in seconds. The peers know the quarantine
# without the store; only instances that start meanwhile do not.
FIRST_RETRY_S = 1.0
LONGEST_RETRY_S = 5.0


class QuarantineRecords:
    """Writes quarantined requests to the store, for instances that start later."""

    def __init__(self, quarantine: Quarantine, store: PacedStore, rng: Random) -> None:
        """Write for ``quarantine`` to ``store``."""
        self._rng = rng
        self._quarantine = quarantine
        self._store = store

    async def write(self) -> None:
        """Write each record until the store has it, until cancelled."""
        async for key, text in self._quarantine.record_queue[1]:
            backoff = Backoff(RetryLimits(FIRST_RETRY_S, LONGEST_RETRY_S), self._rng)
            while not await self._put(key, text):
                await self._store.pacer.wait_to_retry(backoff)

    async def restore(self) -> None:
        """Write the records that a store restored from an older copy has lost, until cancelled.

        All instances hold these records, and one write of each is enough: after
        the random delay most instances have already received the first write.
        """
        while True:
            await self._quarantine.records_missing.wait()
            await trio.sleep(self._rng.uniform(0, RESTORE_JITTER_S))
            self._quarantine.write_missing()

    async def end_expired(self) -> None:
        """End the quarantines that have expired, until cancelled."""
        while True:
            await trio.sleep(EXPIRY_CHECK_S)
            self._quarantine.release_expired()

    async def _put(self, key: str, text: bytes) -> bool:
        try:
            await self._store.client.put(QUARANTINE_TOPIC, key, text)
        except PlatformUnavailableError as exc:
            events.log_event(events.QUARANTINE_NOT_STORED, content=key, cause=str(exc))
            return False
        return True


__all__ = ('QuarantineRecords',)
