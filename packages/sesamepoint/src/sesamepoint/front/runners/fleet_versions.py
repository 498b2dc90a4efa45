"""Software versions of the registered runners of each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.stream_origin.version_history import VersionHistory
from sesamepoint import events
from sesamepoint.front.runners.list_reads import ListReads

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sesamepoint_core.serving.runner import Runner
    from sesamepoint_core.stream_origin.origin import StreamOrigin


class FleetVersions:
    """Notes which versions a fleet has and had lately, and logs when a service has several."""

    def __init__(self, now: Callable[[], float], registered: Callable[[], Iterable[Runner]]) -> None:
        """Start before the first list of runners.

        Parameters
        ----------
        now
            Clock in seconds.
        registered
            Returns the registered runners.
        """
        self.history = VersionHistory()
        self.reads = ListReads()
        self._registered = registered
        self._now = now
        self._current: dict[str, frozenset[str]] = {}

    def begin(self) -> None:
        """Note that all changes of the list of runners are known from now on, and perhaps not those of before."""
        self.history.begin(self._now())

    def note_change(self, runner: Runner) -> None:
        """Note that ``runner`` has just been added to the registered ones, or has left them."""
        service = runner.service
        self.history.note(service, runner.software_version, self._now())
        current = frozenset(one.software_version or '' for one in self._registered() if one.service == service)
        before = self._current.get(service, current)
        self._current[service] = current
        if before != current:
            events.log_event(
                events.VERSIONS_CHANGED, fleet=service, versions=sorted(current), gone=sorted(before - current)
            )

    def recent(self) -> dict[str, list[str | None]]:
        """Return the versions that the services of the registered runners have, and had lately."""
        now = self._now()
        services = set()
        for runner in self._registered():
            services.add(runner.service)
            self.history.note(runner.service, runner.software_version, now)
        return self.history.recent_versions(services | self._current.keys(), now)

    def extend(self, known_s: float, versions: Iterable[tuple[str, str | None]]) -> None:
        """Note that all changes of the last ``known_s`` seconds are known, with their pairs of service and version."""
        now = self._now()
        for service, version in versions:
            self.history.note(service, version, now)
        self.history.extend(now - known_s)

    def known_s(self) -> float:
        """Return for how long all changes of the list of runners have been known, in seconds."""
        return self._now() - self.history.began_at

    def sole_origin(self, service: str) -> StreamOrigin | None:
        """Return the only origin that a stream of ``service`` can have; None if it may have another."""
        now = self._now()
        for runner in self._registered():
            if runner.service == service:
                self.history.note(service, runner.software_version, now)
        return self.history.sole_origin(service, now)


__all__ = ('FleetVersions',)
