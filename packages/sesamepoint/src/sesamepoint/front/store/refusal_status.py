"""Record for the operator while an instance refuses the newest configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.store_pacing.backoff import Backoff, RetryLimits
from sesamepoint import events
from sesamepoint.platform.status_records import encode_refusal
from sesamepoint.platform.wire_names import STATUS_TOPIC

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.store.store_pacer import PacedStore
    from sesamepoint.front.store.topic_sync import TopicSync

# How often the record is compared with what is refused, in seconds.
CHECK_S = 1.0
# Pauses before a failed write is repeated, in seconds.
FIRST_RETRY_S = 1.0
LONGEST_RETRY_S = 5.0
RETRY_LIMITS = RetryLimits(FIRST_RETRY_S, LONGEST_RETRY_S)


class RefusalStatus:
    """Writes the record of an instance when it refuses a version, and removes it once a valid one is in force."""

    def __init__(self, name: str, topic_sync: TopicSync, store: PacedStore, rng: Random) -> None:
        """Write to ``store`` for the instance called ``name``."""
        self._name = name
        self._topic_sync = topic_sync
        self._store = store
        self._rng = rng

    async def run(self) -> None:
        """Show each refusal for as long as it lasts, until cancelled."""
        intake = self._topic_sync.intake
        while True:
            await intake.refused.wait()
            intake.refused = trio.Event()
            await self._show()

    async def _show(self) -> None:
        """Keep the record in step until no version is refused."""
        intake = self._topic_sync.intake
        backoff = Backoff(RETRY_LIMITS, self._rng)
        written = 0
        while written or intake.refused_version():
            # All instances refuse a version at the same moment.
            await trio.sleep(self._rng.uniform(0, 2 * CHECK_S))
            refused = intake.refused_version()
            if refused == written:
                continue
            if await self._write(refused):
                written = refused
                backoff.reset()
            else:
                await self._store.pacer.wait_to_retry(backoff)

    async def _write(self, refused: int) -> bool:
        text = self._record(refused) if refused else b''
        try:
            await self._store.client.put(STATUS_TOPIC, self._name, text)
        except PlatformUnavailableError as exc:
            events.log_event(events.STATUS_NOT_WRITTEN, refused=refused, cause=str(exc))
            return False
        return True

    def _record(self, refused: int) -> bytes:
        cfg = self._topic_sync.in_force
        return encode_refusal(refused, cfg.version if cfg else 0, self._topic_sync.intake.refusal_cause)


__all__ = ('RefusalStatus',)
