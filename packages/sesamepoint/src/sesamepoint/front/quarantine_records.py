"""Keeping the list of quarantined requests in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint import events
from sesamepoint.platform.names import QUARANTINE_TOPIC
from sesamepoint.platform.store import StoreClient

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address
    from sesamepoint.front.quarantine import Quarantine
    from sesamepoint.http1.transport import Network

# How often quarantines are looked through for those that are over, in seconds.
LAPSE_S = 60.0
# Pause before a record that was not written is written again, in seconds.
WRITE_AGAIN_S = 1.0


class QuarantineRecords:
    """Writes what this entry finds out, for entries that start later."""

    def __init__(self, quarantine: Quarantine, store: Address, network: Network) -> None:
        """Write for ``quarantine`` to the store at an address."""
        self._quarantine = quarantine
        self._client = StoreClient(store, network)

    async def write(self) -> None:
        """Write each record until the store has it, until cancelled."""
        async for key, text in self._quarantine.records[1]:
            while not await self._put(key, text):
                await trio.sleep(WRITE_AGAIN_S)

    async def end_lapsed(self) -> None:
        """End quarantines whose time is over, until cancelled."""
        while True:
            await trio.sleep(LAPSE_S)
            self._quarantine.release_lapsed()

    async def _put(self, key: str, text: bytes) -> bool:
        try:
            await self._client.put(QUARANTINE_TOPIC, key, text)
        except PlatformUnavailableError as exc:
            events.log_event(events.QUARANTINE_UNWRITTEN, content=key, cause=str(exc))
            return False
        return True


__all__ = ('QuarantineRecords',)
