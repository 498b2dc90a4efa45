"""Search of the store's history for a valid configuration, while the newest one is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.store_pacing.backoff import Backoff, RetryLimits
from sesamepoint import events
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.store import HistoryGoneError
from sesamepoint.platform.unreadable_record import InvalidConfigurationError
from sesamepoint.platform.wire_names import OPERATOR_KEY, OPERATOR_TOPIC

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.store.store_pacer import PacedStore
    from sesamepoint.front.store.topic_sync import TopicSync
    from sesamepoint.platform.store import KeyedRecord

# Longest pauses before a failed read is repeated, in seconds: without a configuration an instance serves nothing.
RETRY_LIMITS = RetryLimits(first_s=0.1, longest_s=1.0)


class ConfigurationHistory:
    """Puts the newest valid version of the history in force at an instance that has none.

    An invalid version leaves the one before in force, and peers give it to an instance that starts. If all instances
    start meanwhile, only the store still has it.
    """

    def __init__(self, topic_sync: TopicSync, store: PacedStore, rng: Random) -> None:
        """Search in ``store``, and pass what is found to ``topic_sync``."""
        self._topic_sync = topic_sync
        self._store = store
        self._rng = rng

    async def run(self) -> None:
        """Search each time that the newest version is refused while none is in force, until cancelled."""
        intake = self._topic_sync.intake
        while True:
            await intake.lacks_valid.wait()
            intake.lacks_valid = trio.Event()
            await self._search()

    async def _search(self) -> None:
        """Read the history until the store returns it, or a peer has given a configuration."""
        backoff = Backoff(RETRY_LIMITS, self._rng)
        while self._topic_sync.in_force is None:
            try:
                records = await self._store.client.read_history(OPERATOR_TOPIC)
            except (HistoryGoneError, PlatformUnavailableError) as exc:
                events.log_event(events.HISTORY_NOT_READ, cause=repr(exc))
                await self._store.pacer.wait_to_retry(backoff)
                continue
            return self._apply(records)

    def _apply(self, records: tuple[KeyedRecord, ...]) -> None:
        cfg = newest_valid(records)
        taken = cfg is not None and self._topic_sync.put_in_force(cfg)
        events.log_event(events.HISTORY_SEARCHED, records=len(records), version=cfg.version if cfg else 0, taken=taken)


def newest_valid(records: Iterable[KeyedRecord]) -> Configuration | None:
    """Return the valid configuration with the highest version among ``records``."""
    found = (_valid(record) for record in records if record.key == OPERATOR_KEY and record.text)
    return max((cfg for cfg in found if cfg), key=_version, default=None)


def _valid(record: KeyedRecord) -> Configuration | None:
    try:
        return decode_configuration(record.text)
    except InvalidConfigurationError as exc:
        events.log_event(events.HISTORY_VERSION_REFUSED, version=exc.version, cause=exc.cause)
        return None


def _version(cfg: Configuration) -> int:
    return cfg.version


__all__ = ('ConfigurationHistory', 'newest_valid')
