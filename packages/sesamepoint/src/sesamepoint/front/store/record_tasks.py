"""Tasks that read the history of topics, and write records, besides following the topics."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from sesamepoint.front.store.configuration_history import ConfigurationHistory
from sesamepoint.front.store.refusal_status import RefusalStatus
from sesamepoint.front.store.version_records import VersionRecords
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.store.store_pacer import PacedStore
    from sesamepoint.front.store.sync_targets import SyncTargets
    from sesamepoint.front.store.topic_sync import TopicSync


def record_tasks(topic_sync: TopicSync, targets: SyncTargets, new_store: Callable[[], PacedStore]) -> list[Child]:
    """Return the tasks of one instance."""
    name = targets.peers.name
    history = ConfigurationHistory(topic_sync, new_store(), Random(f'{name} history'))
    status = RefusalStatus(name, topic_sync, new_store(), Random(f'{name} status'))
    versions = VersionRecords(topic_sync, targets, new_store(), Random(f'{name} versions'))
    return [
        Child('configuration-history', history.run),
        Child('refusal-status', status.run),
        Child('versions-write', versions.write),
        Child('versions-restore', versions.restore),
    ]


__all__ = ('record_tasks',)
