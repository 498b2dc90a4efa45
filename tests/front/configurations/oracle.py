"""Judges by ranges of versions what requests met while the configuration changed."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from tests.front.configurations.versions import NO_KEY, NO_ROUTE, Ran

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from tests.front.configurations.rows import Disturbances
    from tests.front.configurations.versions import Version

# Requests that each version in reach allows and that nobody serves, by one start of an instance.
MAX_UNSERVED = 5
UNSERVED = ''


class Bounds(NamedTuple):
    """Bounds in seconds: a version must be in force, and a version that was in force must stay."""

    apply_s: float
    back_s: float


class Life(NamedTuple):
    """One start of an instance."""

    front: int
    start: int


class Met(NamedTuple):
    """What one request met: a status of the instance, a run, or neither (``UNSERVED``)."""

    life: Life
    slot: int
    key: int
    sent_at: float
    ended_at: float
    seen: object


class _Shown(NamedTuple):
    """A request showed that a version is in force, given by its index."""

    at: float
    version: int


class ConfigurationOracle:
    """Finds requests that no version in reach explains.

    In reach are the newest version that had to be in force when the request was sent, and all that were written
    between that and its end. An instance that was disturbed need not know new ones, but goes never back. An outage of
    the store excuses for the versions before its end only: what is written after its return is due as ever.
    """

    def __init__(self, versions: Sequence[Version], bounds: Bounds, disturbances: Disturbances) -> None:
        """Judge by the ``versions`` written, oldest first."""
        self._versions = versions
        self._bounds = bounds
        self._disturbances = disturbances
        self._shown: dict[Life, list[_Shown]] = defaultdict(list)
        self._unserved: dict[Life, int] = defaultdict(int)

    def violations(self, requests: Sequence[Met]) -> list[str]:
        """Return a message for each fault."""
        found = [text for met in sorted(requests, key=_ended_at) for text in self._judge(met)]
        return found + [
            f'unserved: {life} left {count} requests unserved that all versions in reach allow'
            for life, count in self._unserved.items()
            if count > MAX_UNSERVED
        ]

    def _judge(self, met: Met) -> Iterator[str]:
        last = self._last_written(met.ended_at)
        first_known = self._first_in_reach(met)
        shown = self._newest_shown(met)
        if met.seen == UNSERVED:
            self._note_unserved(met, first_known, last)
            return
        fitting = [index for index in range(last + 1) if met.seen in self._versions[index].allows(met.slot, met.key)]
        if not any(index >= shown for index in fitting):
            if fitting:
                yield f'back: {met} after version {self._versions[shown].number}'
            else:
                yield f'{_kind_of(met)}: {met}, and no version says so'
            return
        if not any(index >= first_known for index in fitting):
            yield f'{_kind_of(met)}: {met} after version {self._versions[first_known].number} had to be in force'
        self._shown[met.life].append(_Shown(met.ended_at, min(index for index in fitting if index >= shown)))

    def _last_written(self, until: float) -> int:
        return max(index for index, one in enumerate(self._versions) if one.acknowledged_at <= until or not index)

    def _first_in_reach(self, met: Met) -> int:
        """Return the index of the newest version that had to be in force when the request was sent."""
        if self._disturbances.excuses_instance(met.life.front, met.sent_at, met.ended_at):
            return 0
        due = (self._disturbances.version_due_at(one.acknowledged_at, self._bounds.apply_s) for one in self._versions)
        return max((index for index, due_at in enumerate(due) if due_at <= met.sent_at), default=0)

    def _newest_shown(self, met: Met) -> int:
        before = met.sent_at - self._bounds.back_s
        return max((one.version for one in self._shown[met.life] if one.at <= before), default=0)

    def _note_unserved(self, met: Met, first: int, last: int) -> None:
        reachable = self._versions[first : last + 1]
        refusals = {NO_ROUTE, NO_KEY}
        sound = not any(one.allows(met.slot, met.key) & refusals for one in reachable)
        if sound and not self._disturbances.excuses(met.life.front, met.sent_at, met.ended_at):
            self._unserved[met.life] += 1


def _kind_of(met: Met) -> str:
    return 'config' if isinstance(met.seen, Ran) or met.seen == NO_ROUTE else 'denied'


def _ended_at(met: Met) -> float:
    return met.ended_at


__all__ = ('UNSERVED', 'Bounds', 'ConfigurationOracle', 'Life', 'Met')
