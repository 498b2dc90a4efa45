"""Detection and quarantine of poison requests, from the runner failures that all instances saw."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.serving.runner import StartMs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Number of runners that ended under a request from which on it is sent alone, as a probe.
# The end of one runner doesn't suffice: any request there may have caused it, or none.
PROBE_FROM_ENDS = 2
# Number of runners that ended under a request, the last one while it was sent alone, from
# which on it is quarantined.
QUARANTINE_FROM_ENDS = 3
# Seconds after which a quarantined request is sent once more: engines get fixed, and a
# harmless request may have run at three that failed by themselves. The users accept
# three more sends of a poison request; with 8 hours these are a day's.
QUARANTINE_S = 28_800.0
# Most requests, and most ended runners, that are remembered; the least recently updated
# go first. A hundred failed engines a day with 50 requests each fit in.
MAX_REMEMBERED = 8192

# Longest name that is accepted from another process, in characters.
MAX_NAME_CHARS = 128
BoundedName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]


class Incarnation(NamedTuple):
    """One incarnation of a runner: a run of its process."""

    runner: BoundedName
    born_ms: StartMs = 0


class SuspectRequests:
    """The runners that ended under each request, and the requests in quarantine.

    A runner that fails ends all requests that run there, so each of them is suspect.
    A harmless request is answered by another runner and is no suspect from then on. A
    poison request ends each runner that it runs on, also when it runs alone. Once it
    is known, the ends that it caused no longer count against other requests.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        self._ended_under: dict[str, dict[Incarnation, None]] = {}
        self._ended: dict[Incarnation, None] = {}
        self._attributed: dict[Incarnation, None] = {}
        self._quarantined_at: dict[str, float] = {}

    def note_end(self, content_id: str, incarnation: Incarnation) -> int:
        """Note that a runner ended under a request; returns how many have done so."""
        self._ended[incarnation] = None
        drop_oldest(self._ended, MAX_REMEMBERED)
        if incarnation in self._attributed and content_id not in self._quarantined_at:
            return self.end_count(content_id)
        incarnations = self._ended_under.pop(content_id, {})
        incarnations[incarnation] = None
        self._ended_under[content_id] = incarnations
        drop_oldest(self._ended_under, MAX_REMEMBERED)
        return len(incarnations)

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Tell whether an incarnation of a runner is known to have ended."""
        return incarnation in self._ended

    def note_served(self, content_id: str) -> bool:
        """Note that a request was answered completely; returns whether it was suspect."""
        self._quarantined_at.pop(content_id, None)
        return self._ended_under.pop(content_id, None) is not None

    def end_count(self, content_id: str) -> int:
        """Return how many runners have ended under a request."""
        return len(self._ended_under.get(content_id, ()))

    def total_ends(self) -> int:
        """Return the sum over all suspect requests of the runners that ended under them."""
        return sum(len(incarnations) for incarnations in self._ended_under.values())

    def ended_incarnations(self, content_id: str) -> tuple[Incarnation, ...]:
        """Return the runners that ended under a request."""
        return tuple(self._ended_under.get(content_id, ()))

    def needs_probe(self, content_id: str) -> bool:
        """Tell whether a request may only be sent alone, as a probe."""
        return self.end_count(content_id) >= PROBE_FROM_ENDS

    def quarantined(self, content_id: str) -> bool:
        """Tell whether a request may not be sent at all."""
        return content_id in self._quarantined_at

    def quarantine(self, content_id: str, now: float) -> None:
        """Put a request in quarantine; the ends that it caused stop counting against others."""
        self._quarantined_at.setdefault(content_id, now)
        for incarnation in self._ended_under.get(content_id, ()):
            self._attribute(incarnation)
        drop_oldest(self._quarantined_at, MAX_REMEMBERED)

    def attribute_ends(self, incarnations: Iterable[Incarnation]) -> None:
        """Let ends that have another known cause count against quarantined requests only."""
        for incarnation in incarnations:
            self._attribute(incarnation)

    def release(self, content_id: str) -> bool:
        """End a quarantine; returns whether there was one. The next send is a probe."""
        return self._quarantined_at.pop(content_id, None) is not None

    def quarantine_left_s(self, content_id: str, now: float) -> float:
        """Return the rest of the quarantine of a request, in seconds; 0 if there is none."""
        since = self._quarantined_at.get(content_id)
        return 0 if since is None else max(since + QUARANTINE_S - now, 0)

    def expired_quarantines(self, now: float) -> list[str]:
        """Return the requests whose quarantine is over."""
        return [content_id for content_id, since in self._quarantined_at.items() if now - since >= QUARANTINE_S]

    def all_quarantined(self) -> tuple[str, ...]:
        """Return all requests in quarantine."""
        return tuple(self._quarantined_at)

    def all_suspect(self) -> tuple[str, ...]:
        """Return the requests under which a runner has ended, the last updated ones last."""
        return tuple(self._ended_under)

    def _attribute(self, incarnation: Incarnation) -> None:
        """Let the end of an incarnation count against quarantined requests only."""
        self._attributed[incarnation] = None
        drop_oldest(self._attributed, MAX_REMEMBERED)
        for content_id, incarnations in tuple(self._ended_under.items()):
            if content_id in self._quarantined_at:
                continue
            incarnations.pop(incarnation, None)
            if not incarnations:
                self._ended_under.pop(content_id)


__all__ = (
    'MAX_NAME_CHARS',
    'PROBE_FROM_ENDS',
    'QUARANTINE_FROM_ENDS',
    'QUARANTINE_S',
    'BoundedName',
    'Incarnation',
    'SuspectRequests',
)
