"""Lasting models of all engines, refreshed from own samples and the reports of peers."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.engine_model.passing import excess_decay
from sesamepoint_core.engine_model.relative import center_of, lasting_model
from sesamepoint_core.serving.runner import Stage
from sesamepoint.front.engine_model.model_log import ModelLog

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.fleet_member import Member

# Interval between two refreshes in seconds: the least, and for each engine, so that the processor
# time of refreshes does not grow with the number of engines.
MIN_REFRESH_S = 1.0
REFRESH_S_PER_ENGINE = 0.01


class EngineModels:
    """Keeps the lasting models of the engines up to date."""

    def __init__(self, fleet: Fleet, engine_subset: EngineSubset) -> None:
        """Refresh the models of the engines of ``fleet`` that this instance uses."""
        self._fleet = fleet
        self._engine_subset = engine_subset
        self._log = ModelLog()
        self._refreshed_at: float = 0

    async def run(self) -> None:
        """Refresh all models until cancelled."""
        while True:
            engines = self._engines()
            await trio.sleep(max(MIN_REFRESH_S, REFRESH_S_PER_ENGINE * len(engines)))
            self.refresh()

    def refresh(self) -> None:
        """Merge own samples and reports, and relate each engine to its service and stage."""
        groups: dict[tuple[str, Stage], list[Member]] = {}
        for member in self._engines():
            groups.setdefault((member.runner.service, member.runner.stage), []).append(member)
        now = trio.current_time()
        for members in groups.values():
            self._refresh_group(members)
            _fade_excess(members, now - self._refreshed_at)
        self._refreshed_at = now
        self._log.keep_only(self._fleet.members)

    def watch(self, add_gauge: Callable[[str, str, Callable[[], float]], None]) -> None:
        """Add the gauges on engine models."""
        add_gauge('sesamepoint_slow_engines', 'Engines that are slower than their service.', self.count_slow)
        add_gauge('sesamepoint_fast_engines', 'Engines that are faster than their service.', self.count_fast)
        add_gauge(
            'sesamepoint_slowest_engine', 'Largest lasting factor on prefill times of an engine.', self.largest_factor
        )
        add_gauge(
            'sesamepoint_cut_model_reports', 'Reports of peers on engines that are outliers.', self._log.count_cut
        )

    def count_slow(self) -> int:
        """Return how many engines are slower than the median of their service."""
        return sum(member.model.lasting.prefill_factor > 1 for member in self._engines())

    def count_fast(self) -> int:
        """Return how many engines are faster than the median of their service."""
        return sum(member.model.lasting.prefill_factor < 1 for member in self._engines())

    def largest_factor(self) -> float:
        """Return the factor on prefill times of the slowest engine."""
        return max((member.model.lasting.prefill_factor for member in self._engines()), default=1)

    def _engines(self) -> list[Member]:
        members = self._fleet.members.values()
        return [
            one for one in members if one.runner.stage is not Stage.plain and self._engine_subset.contains(one.runner)
        ]

    def _refresh_group(self, members: Sequence[Member]) -> None:
        now = trio.current_time()
        merged = [member.model.merged(now) for member in members]
        center = center_of([one.report for one in merged])
        for member, estimates in zip(members, merged, strict=True):
            model = member.model
            model.lasting = lasting_model(estimates.report, center)
            member.health.slowness = model.lasting.slowness
            self._log.note(member, estimates, center)


def _fade_excess(members: Sequence[Member], passed_s: float) -> None:
    """Let the short-term factors that are unusual for a service and stage fade quickly."""
    now = trio.current_time()
    usual = median(member.model.transient.factor(now) for member in members)
    for member in members:
        decay = excess_decay(member.model.transient.factor(now), usual, passed_s)
        if decay != 1:
            member.model.transient.scale(now, decay)


__all__ = ('EngineModels',)
