"""Gauges of what an instance knows from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.store.store_pacer import StorePacer
    from sesamepoint.front.store.topic_sync import TopicSync

    AddGauge = Callable[[str, str, Callable[[], float]], None]


def add_sync_gauges(add_gauge: AddGauge, topic_sync: TopicSync, pacer: StorePacer) -> None:
    """Add the gauges of the configuration and of the store."""
    intake = topic_sync.intake
    add_gauge('sesamepoint_store_down', 'Whether the store answers no instance.', pacer.is_down)
    add_gauge('sesamepoint_configurations_refused', 'Invalid configurations so far.', lambda: intake.refusals)
    add_gauge(
        'sesamepoint_configuration_refused_version',
        'Newest known version if it is refused, else 0.',
        intake.refused_version,
    )


__all__ = ('add_sync_gauges',)
