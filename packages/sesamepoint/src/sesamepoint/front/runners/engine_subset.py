"""Subset of the engines that each instance sends to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.route.subset import in_subset
from sesamepoint_core.serving.runner import Stage
from sesamepoint.front.runners.fleet import accepting_members

if TYPE_CHECKING:
    from sesamepoint_core.serving.runner import Runner
    from sesamepoint_core.stream_origin.origin import StreamOrigin
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.fleet_member import Member

# Engines of one service and stage in an instance's subset. Current fleets are smaller
# and used by all instances. With 600 engines and 350 instances each engine is used by
# 14 instances, and a send to it is announced to those only. A larger subset means more
# announcements; docs/CAPACITY.md has both figures for the design size.
SUBSET_ENGINES = 24


class EngineSubset:
    """The runners that each instance uses, by a hash of the names of instance and runner."""

    def __init__(self, instance_id: str, fleet: Fleet) -> None:
        """Find the subset of one instance among the registered runners of ``fleet``."""
        self._instance_id = instance_id
        self._fleet = fleet
        self._membership: dict[str, bool] = {}
        self._membership_version = -1

    @property
    def covers_fleet(self) -> bool:
        """Tell whether each instance uses all engines."""
        return all(self._fleet_size(member.runner) <= SUBSET_ENGINES for member in self._fleet.members.values())

    def of_service(self, service: str) -> list[Member]:
        """Return the runners of ``service`` that this instance may send new requests to."""
        return [member for member in self._fleet.of_service(service) if self.contains(member.runner)]

    def of_origin(self, origin: StreamOrigin) -> list[Member]:
        """Return the runners that may go on with streams of ``origin``: those of the subset if any of them decodes."""
        of_origin = accepting_members(self._fleet.all_of_origin(origin))
        used = [member for member in of_origin if self.contains(member.runner)]
        return used if any(member.runner.stage is not Stage.prefill for member in used) else of_origin

    def all_of_origin(self, origin: StreamOrigin) -> list[Member]:
        """Return all registered runners of ``origin``, draining ones included."""
        return self._fleet.all_of_origin(origin)

    async def wait_for_any(self, service: str) -> bool:
        """Wait until a runner of ``service`` is registered; return False if all of its runners are draining."""
        return await self._fleet.wait_for_any(service)

    def contains(self, runner: Runner) -> bool:
        """Tell whether this instance uses ``runner``; cached, since each selection asks for each engine."""
        if self._membership_version != self._fleet.changes:
            self._membership_version = self._fleet.changes
            self._membership.clear()
        in_subset = self._membership.get(runner.key)
        if in_subset is None:
            in_subset = self._in_subset_of(self._instance_id, runner)
            self._membership[runner.key] = in_subset
        return in_subset

    def contains_at(self, instance_id: str, key: str) -> bool:
        """Tell whether an instance uses the runner with ``key``."""
        member = self._fleet.members.get(key)
        return member is not None and self._in_subset_of(instance_id, member.runner)

    def subset_share(self, service: str, stage: Stage) -> float:
        """Return the share of the engines of a stage that one instance uses.

        It is also the expected share of a peer's work that goes to engines in
        this instance's subset, since each instance has another subset.
        """
        size = self._fleet.size_of(service, stage)
        return min(SUBSET_ENGINES / size, 1) if size else 1

    def _in_subset_of(self, instance_id: str, runner: Runner) -> bool:
        return in_subset(instance_id, runner.key, self._fleet_size(runner), SUBSET_ENGINES)

    def _fleet_size(self, runner: Runner) -> int:
        """Return how many engines its service has for its stage; 0 for a plain service, which all instances use."""
        return 0 if runner.stage is Stage.plain else self._fleet.size_of(runner.service, runner.stage)


__all__ = ('SUBSET_ENGINES', 'EngineSubset')
