"""Faults of an instance that the soak of configurations must find, as patches of its modules."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import trio

from sesamepoint.front.dispatch import Dispatcher
from sesamepoint.front.front import Front
from sesamepoint.front.runners.registration_history import RegistrationHistory
from sesamepoint.front.runners.runner_status import RunnerStatuses
from sesamepoint.front.store.dropped_updates import DroppedUpdates
from sesamepoint.front.store.epoch_news import EpochNews
from sesamepoint.front.store.store_identity import StoreIdentity
from sesamepoint.front.store.topic_sync import TopicSync
from sesamepoint.front.store.topic_watch import TopicWatch
from sesamepoint.platform import configuration
from sesamepoint.platform import store as platform_store
from sesamepoint.platform.store_location import StoreLocation
from sesamepoint.process.settings_reload import SETTINGS_POLL_INTERVAL_S, SettingsReload

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sesamepoint_core.serving.address import Address
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.front.store.out_of_order import Position
    from sesamepoint.front.store.topic_updates import TopicUpdate
    from sesamepoint.platform.store import KeyedRecord

    Patch = tuple[Any, str, Any]

# Seconds by which an instance is late.
LATE_S = 4.0
_put_in_force = TopicSync.put_in_force
_apply_runner = TopicSync._apply_runner  # noqa: SLF001
_configure = Dispatcher.configure
_reconfigure = Front.reconfigure
_follow = TopicWatch._follow  # noqa: SLF001
_list = TopicWatch._list  # noqa: SLF001


async def _later(call: Callable[..., Any], *positional: Any) -> None:
    await trio.sleep(LATE_S)
    call(*positional)


def _put_in_force_late(sync: TopicSync, cfg: Configuration) -> bool:
    if sync.in_force is None:
        return _put_in_force(sync, cfg)
    trio.lowlevel.spawn_system_task(_later, _put_in_force, sync, cfg)
    return False


def _apply_leaving_late(sync: TopicSync, record: KeyedRecord) -> bool:
    if record.text and b'"draining"' not in record.text:
        return _apply_runner(sync, record)
    trio.lowlevel.spawn_system_task(_later, _apply_runner, sync, record)
    return False


def _configure_without_new_keys(dispatcher: Dispatcher, cfg: Configuration) -> None:
    before = dispatcher.configuration
    _configure(dispatcher, cfg if before is None else cfg._replace(accounts=before.accounts))


def _keep_version_before(dispatcher: Dispatcher, cfg: Configuration) -> None:
    dispatcher.version_before = dispatcher.configuration or cfg  # type: ignore[attr-defined]
    _configure(dispatcher, cfg)


def _go_back_at_reload(front: Front, cfg: FrontSettings) -> None:
    _reconfigure(front, cfg)
    front.dispatcher.configuration = front.dispatcher.version_before  # type: ignore[attr-defined]


def _keep_store_address(_: StoreLocation, _address: Address) -> None:
    """Go on at the address of the start."""


async def _watch_time_of_change(settings: SettingsReload) -> None:
    path = settings._path  # noqa: SLF001
    before = path.stat().st_mtime_ns
    while True:
        await trio.sleep(SETTINGS_POLL_INTERVAL_S)
        changed_at = path.stat().st_mtime_ns
        if changed_at != before:
            settings.run()
        before = changed_at


def _find_nothing(_: object) -> tuple[str, ...]:
    return ()


def _drop_all_updates(_: DroppedUpdates, _update: TopicUpdate, _known: Position) -> bool:
    return True


def _serves_never(_: int) -> bool:
    return False


async def _follow_and_note(watch: TopicWatch, start: int, began_at: float) -> bool:
    answered = await _follow(watch, start, began_at)
    if answered:
        watch._peers.pacer.note_answered()  # noqa: SLF001
    return answered


async def _list_and_note(watch: TopicWatch, began_at: float) -> bool:
    answered = await _list(watch, began_at)
    watch._peers.pacer.note_answered()  # noqa: SLF001
    return answered


def _put_any_in_force(sync: TopicSync, cfg: Configuration) -> bool:
    before = sync.in_force
    if before is not None and cfg.version == before.version:
        return False
    sync._targets.fleet.configure(cfg)  # noqa: SLF001
    sync._targets.dispatcher.configure(cfg)  # noqa: SLF001
    return True


def _do_nothing(*_: object) -> None:
    """Replace a safeguard."""


CONFIGURATION_VARIANTS: Mapping[str, tuple[Patch, ...]] = MappingProxyType(
    {
        'applies-late': ((TopicSync, 'put_in_force', _put_in_force_late),),
        'believes-ready-again': (
            (StoreIdentity, 'settling', False),
            (RunnerStatuses, 'note_draining', _do_nothing),
            (RegistrationHistory, 'note_removed', _do_nothing),
        ),
        'drops-all-updates': ((DroppedUpdates, 'drops', _drop_all_updates),),
        'ignores-first-answers': (
            (platform_store, '_serves', _serves_never),
            (EpochNews, '_spread', _do_nothing),
            (TopicWatch, '_follow', _follow_and_note),
            (TopicWatch, '_list', _list_and_note),
        ),
        'takes-older-copy': ((TopicSync, 'put_in_force', _put_any_in_force),),
        'goes-back-at-reload': (
            (Dispatcher, 'configure', _keep_version_before),
            (Front, 'reconfigure', _go_back_at_reload),
        ),
        'keeps-store-address': ((StoreLocation, 'move', _keep_store_address),),
        'misses-replaced-settings': ((SettingsReload, 'watch', _watch_time_of_change),),
        'refuses-new-keys': ((Dispatcher, 'configure', _configure_without_new_keys),),
        'takes-invalid-versions': ((configuration, 'find_complaints', _find_nothing),),
        'sends-to-leaving': ((TopicSync, '_apply_runner', _apply_leaving_late),),
    }
)

__all__ = ('CONFIGURATION_VARIANTS',)
