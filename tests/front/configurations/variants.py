"""Faults of an instance that the soak of configurations must find, as patches of its modules."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import trio

from sesamepoint.front.dispatch import Dispatcher
from sesamepoint.front.front import Front
from sesamepoint.front.store.dropped_updates import DroppedUpdates
from sesamepoint.front.store.hedged_reads import HedgedReads
from sesamepoint.front.store.topic_sync import TopicSync
from sesamepoint.platform import configuration
from sesamepoint.platform.store_location import StoreLocation
from sesamepoint.process.settings_reload import SETTINGS_POLL_INTERVAL_S, SettingsReload
from tests.front.configurations.restore_variants import RESTORE_VARIANTS

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


async def _read_no_list(*_: object) -> None:
    await trio.lowlevel.checkpoint()


def _find_nothing(_: object) -> tuple[str, ...]:
    return ()


def _drop_all_updates(_: DroppedUpdates, _update: TopicUpdate, _known: Position) -> bool:
    return True


CONFIGURATION_VARIANTS: Mapping[str, tuple[Patch, ...]] = MappingProxyType(
    {
        **RESTORE_VARIANTS,
        'applies-late': ((TopicSync, 'put_in_force', _put_in_force_late),),
        'drops-all-updates': ((DroppedUpdates, 'drops', _drop_all_updates),),
        'goes-back-at-reload': (
            (Dispatcher, 'configure', _keep_version_before),
            (Front, 'reconfigure', _go_back_at_reload),
        ),
        'keeps-store-address': ((StoreLocation, 'move', _keep_store_address),),
        'misses-replaced-settings': ((SettingsReload, 'watch', _watch_time_of_change),),
        'reads-no-list-instead': ((HedgedReads, '_read_list', _read_no_list),),
        'refuses-new-keys': ((Dispatcher, 'configure', _configure_without_new_keys),),
        'takes-invalid-versions': ((configuration, 'find_complaints', _find_nothing),),
        'sends-to-leaving': ((TopicSync, '_apply_runner', _apply_leaving_late),),
    }
)

__all__ = ('CONFIGURATION_VARIANTS',)
