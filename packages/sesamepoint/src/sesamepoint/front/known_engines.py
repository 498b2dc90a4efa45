"""Which engines an entry sends to, and whom its sends concern."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.route.subset import is_known
from sesamepoint_core.serving.runner import Stage

if TYPE_CHECKING:
    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.member import Member

# Engines of one service and stage that an entry knows. The fleets of today
# are smaller and known whole. Of 600 engines before 350 entries each is known
# to 14 entries, and those alone have to be told of a send to it. More choice
# means more to be told; docs/CAPACITY.md has both for the design size.
KNOWN = 24


class KnownEngines:
    """The share of the fleet that each entry knows, by a hash of both names."""

    def __init__(self, entry: str, fleet: Fleet) -> None:
        """Work for ``entry``; ``fleet`` has all runners that are registered."""
        self._entry = entry
        self._fleet = fleet
        self._here: dict[str, bool] = {}
        self._here_at = -1

    @property
    def whole(self) -> bool:
        """Tell whether each entry knows all engines."""
        return all(self._size(member.runner) <= KNOWN for member in self._fleet.members.values())

    def of_service(self, service: str) -> list[Member]:
        """Return the runners of ``service`` that this entry may send new requests to."""
        return [member for member in self._fleet.of_service(service) if self.here(member.runner)]

    async def until_any(self, service: str) -> bool:
        """Wait until some runner of ``service`` is registered; False if all that there are leave."""
        return await self._fleet.until_any(service)

    def here(self, runner: Runner) -> bool:
        """Tell whether this entry knows ``runner``; asked for each engine at each choice."""
        if self._here_at != self._fleet.changes:
            self._here_at = self._fleet.changes
            self._here.clear()
        known = self._here.get(runner.key)
        if known is None:
            known = self._knows(self._entry, runner)
            self._here[runner.key] = known
        return known

    def at(self, entry: str, key: str) -> bool:
        """Tell whether ``entry`` knows the runner called ``key``."""
        member = self._fleet.members.get(key)
        return member is not None and self._knows(entry, member.runner)

    def share_of(self, service: str, stage: Stage) -> float:
        """Return the share of the engines of a stage that one entry knows.

        It is also the share of another entry's work that will come to the
        engines known here: each knows others.
        """
        size = self._fleet.size_of(service, stage)
        return min(KNOWN / size, 1) if size else 1

    def _knows(self, entry: str, runner: Runner) -> bool:
        return is_known(entry, runner.key, self._size(runner), KNOWN)

    def _size(self, runner: Runner) -> int:
        """Return the size of a runner's fleet; plain services are known whole."""
        return 0 if runner.stage is Stage.plain else self._fleet.size_of(runner.service, runner.stage)


__all__ = ('KNOWN', 'KnownEngines')
