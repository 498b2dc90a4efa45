"""Gauges of what an instance knows from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.platform.wire_names import OPERATOR_TOPIC, RUNNER_TOPIC

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.store.freshness import Freshness
    from sesamepoint.front.store.store_pacer import StorePacer
    from sesamepoint.front.store.topic_sync import TopicSync

    AddGauge = Callable[[str, str, Callable[[], float]], None]


def add_sync_gauges(add_gauge: AddGauge, topic_sync: TopicSync, freshness: Freshness, pacer: StorePacer) -> None:
    """Add the gauges of the configuration and of the store."""
    intake = topic_sync.intake
    add_gauge(
        'sesamepoint_configuration_age_seconds',
        'Time since the configuration was known to be current.',
        lambda: freshness.age_s(OPERATOR_TOPIC),
    )
    add_gauge(
        'sesamepoint_runner_list_age_seconds',
        'Time since the list of runners was known to be current.',
        lambda: freshness.age_s(RUNNER_TOPIC),
    )
    add_gauge('sesamepoint_store_down', 'Whether the store answers no instance.', pacer.is_down)
    add_gauge(
        'sesamepoint_topic_updates_dropped',
        'Updates of peers on topics of the store that were not used so far.',
        lambda: sum(watch.dropped.count for watch in topic_sync.watches.values()),
    )
    add_gauge(
        'sesamepoint_store_restore_read_seconds',
        'Longest time from the news of the latest restore of the store until a topic was read.',
        lambda: pacer.news.slowest_read_s,
    )
    add_gauge('sesamepoint_configurations_refused', 'Invalid configurations so far.', lambda: intake.refusals)
    _add_read_gauges(add_gauge, topic_sync)
    add_gauge(
        'sesamepoint_configuration_refused_version',
        'Newest known version if it is refused, else 0.',
        intake.refused_version,
    )


def _add_read_gauges(add_gauge: AddGauge, topic_sync: TopicSync) -> None:
    """Add the gauges of the reads that replace silent ones."""
    add_gauge(
        'sesamepoint_hedged_reads',
        'Short reads in place of silent ones so far.',
        lambda: sum(reads.hedges for reads in topic_sync.reads.values()),
    )
    add_gauge(
        'sesamepoint_lists_for_log_reads',
        'Whole lists in place of silent reads of the log so far.',
        lambda: sum(reads.lists for reads in topic_sync.reads.values()),
    )


__all__ = ('add_sync_gauges',)
