"""Faults of an instance after a restore of the store that the soak of configurations must find."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.front.runners.registration_history import RegistrationHistory
from sesamepoint.front.runners.runner_status import RunnerStatuses
from sesamepoint.front.store.epoch_news import EpochNews
from sesamepoint.front.store.store_identity import StoreIdentity
from sesamepoint.front.store.topic_sync import TopicSync
from sesamepoint.front.store.topic_watch import TopicWatch
from sesamepoint.platform import store as platform_store

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint_core.serving.routes import Configuration

    Patch = tuple[Any, str, Any]

# Seconds for which the answers of a restored store are ignored. Of instances whose first answer did not count, the
# first knew of a restore after up to 8.8 s.
IGNORED_S = 6.0
_poll = TopicWatch._poll  # noqa: SLF001
_check_epoch = StoreIdentity.check_epoch
# When an instance saw an epoch first, by the id of the topic's `StoreIdentity` and the epoch.
_epochs_known_since: dict[tuple[int, int], float] = {}


def _serves_never(_: int) -> bool:
    return False


def _check_epoch_late(identity: StoreIdentity, newest: int, end: int | None, *, has_records: bool) -> bool:
    known_since = _epochs_known_since.setdefault((id(identity), newest), trio.current_time())
    if identity.epoch and trio.current_time() < known_since + IGNORED_S:
        return False
    return _check_epoch(identity, newest, end, has_records=has_records)


async def _poll_known_epoch(watch: TopicWatch, began_at: float) -> None:
    """Ignore a restored store at first, as if it had not answered."""
    if 0 < watch.identity.epoch < watch._store.epoch.newest:  # noqa: SLF001
        raise PlatformUnavailableError('store', 'its first answers are ignored')
    await _poll(watch, began_at)


def _put_any_in_force(sync: TopicSync, cfg: Configuration) -> bool:
    before = sync.in_force
    if before is not None and cfg.version == before.version:
        return False
    sync._targets.fleet.configure(cfg)  # noqa: SLF001
    sync._targets.dispatcher.configure(cfg)  # noqa: SLF001
    return True


def _do_nothing(*_: object) -> None:
    """Replace a safeguard."""


RESTORE_VARIANTS: Mapping[str, tuple[Patch, ...]] = MappingProxyType(
    {
        'believes-ready-again': (
            (StoreIdentity, 'settling', False),
            (RunnerStatuses, 'note_draining', _do_nothing),
            (RegistrationHistory, 'note_removed', _do_nothing),
        ),
        'ignores-first-answers': (
            (platform_store, '_serves', _serves_never),
            (EpochNews, '_spread', _do_nothing),
            (StoreIdentity, 'check_epoch', _check_epoch_late),
            (TopicWatch, '_poll', _poll_known_epoch),
        ),
        'takes-older-copy': ((TopicSync, 'put_in_force', _put_any_in_force),),
    }
)

__all__ = ('RESTORE_VARIANTS',)
