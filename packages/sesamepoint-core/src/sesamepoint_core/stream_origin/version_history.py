"""Versions of each service that an instance has seen lately."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sesamepoint_core.stream_origin.origin import StreamOrigin
from sesamepoint_core.stream_origin.origin_memory import MIN_RETENTION_S

if TYPE_CHECKING:
    from collections.abc import Iterable


class VersionHistory:
    """Tells whether all streams of a service that may be taken up now began at one version."""

    def __init__(self) -> None:
        """Start before the first list of runners."""
        self.retention_s = MIN_RETENTION_S
        self._began_at = math.inf
        self._seen_at: dict[str, dict[str | None, float]] = {}

    def begin(self, now: float) -> None:
        """Note that all changes of the list of runners are known from now on, and perhaps not those of before.

        A version may have come and gone between two reads of the whole list, so each of them begins anew.
        """
        self._began_at = now

    @property
    def began_at(self) -> float:
        """Return since when all changes of the list of runners are known; infinite before the first list."""
        return self._began_at

    def extend(self, began_at: float) -> None:
        """Note that all changes since ``began_at`` are known, as their versions have been noted."""
        self._began_at = min(began_at, self._began_at)

    def recent_versions(self, services: Iterable[str], now: float) -> dict[str, list[str | None]]:
        """Return the versions of each service that were noted lately."""
        return {service: self._recent(service, now) for service in services}

    def note(self, service: str, version: str | None, now: float) -> None:
        """Note that a runner of ``service`` at ``version`` is registered or has just gone."""
        seen_at = self._seen_at.setdefault(service, {})
        if version not in seen_at:
            # Versions of long ago are forgotten.
            self._recent(service, now)
        self._seen_at[service][version] = now

    def sole_origin(self, service: str, now: float) -> StreamOrigin | None:
        """Return the only origin that a stream of ``service`` can have.

        None if there may have been another version within the time that streams are
        remembered, or if the list of runners has been known for less.
        """
        if now - self._began_at < self.retention_s:
            return None
        versions = self._recent(service, now)
        if len(versions) != 1 or versions[0] is None:
            return None
        return StreamOrigin(service, versions[0])

    def _recent(self, service: str, now: float) -> list[str | None]:
        seen_at = self._seen_at.get(service, {})
        recent = {version: at for version, at in seen_at.items() if now - at <= self.retention_s}
        self._seen_at[service] = recent
        return list(recent)


__all__ = ('VersionHistory',)
