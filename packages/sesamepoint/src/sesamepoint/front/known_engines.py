"""Subset of the engines that each instance sends to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.route.subset import is_known
from sesamepoint_core.serving.runner import Stage

if TYPE_CHECKING:
    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.member import Member

# Engines of one service and stage in an instance's subset. Current fleets are smaller
# and used by all instances. With 600 engines and 350 instances each engine is used by
# 14 instances, and a send to it is announced to those only. A larger subset means more
# announcements; docs/CAPACITY.md has both figures for the design size.
KNOWN = 24


class KnownEngines:
    """The runners that each instance uses, by a hash of the names of instance and runner."""

    def __init__(self, entry: str, fleet: Fleet) -> None:
        """Find the subset of one instance among the registered runners of ``fleet``."""
        self._entry = entry
        self._fleet = fleet
        self._here: dict[str, bool] = {}
        self._here_at = -1

    @property
    def whole(self) -> bool:
        """Tell whether each instance uses all engines."""
        return all(self._size(member.runner) <= KNOWN for member in self._fleet.members.values())

    def of_service(self, service: str) -> list[Member]:
        """Return the runners of ``service`` that this instance may send new requests to."""
        return [member for member in self._fleet.of_service(service) if self.here(member.runner)]

    async def until_any(self, service: str) -> bool:
        """Wait until a runner of ``service`` is registered; return False if all of its runners are draining."""
        return await self._fleet.until_any(service)

    def here(self, runner: Runner) -> bool:
        """Tell whether this instance uses ``runner``; cached, since each selection asks for each engine."""
        if self._here_at != self._fleet.changes:
            self._here_at = self._fleet.changes
            self._here.clear()
        known = self._here.get(runner.key)
        if known is None:
            known = self._knows(self._entry, runner)
            self._here[runner.key] = known
        return known

    def at(self, entry: str, key: str) -> bool:
        """Tell whether an instance uses the runner with ``key``."""
        member = self._fleet.members.get(key)
        return member is not None and self._knows(entry, member.runner)

    def share_of(self, service: str, stage: Stage) -> float:
        """Return the share of the engines of a stage that one instance uses.

        It is also the expected share of a peer's work that goes to engines in
        this instance's subset, since each instance has another subset.
        """
        size = self._fleet.size_of(service, stage)
        return min(KNOWN / size, 1) if size else 1

    def _knows(self, entry: str, runner: Runner) -> bool:
        return is_known(entry, runner.key, self._size(runner), KNOWN)

    def _size(self, runner: Runner) -> int:
        """Return how many engines its service has for its stage; 0 for a plain service, which all instances use."""
        return 0 if runner.stage is Stage.plain else self._fleet.size_of(runner.service, runner.stage)


__all__ = ('KNOWN', 'KnownEngines')
