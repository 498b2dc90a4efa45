"""Which requests end the runners that run them, by what all instances saw."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sesamepoint_core.bounded import forget_oldest
from sesamepoint_core.serving.runner import StartMs

# Runners that ended under a request before it is sent alone only. The first one
# tells nothing: all that ran there may have done it, or none of it.
TRIAL_FROM = 2
# A quarantined request is tried once more after this time, in seconds: engines
# get mended, and a sound request may have been at three that ended by
# themselves. The users bear three more sends of a harmful one; these are a day's.
QUARANTINE_S = 28_800.0
# Requests that are remembered, the longest untouched are forgotten first. Of a
# hundred ends of engines a day, with 50 requests at each, all are kept.
REMEMBERED = 8192

# Names that come from other processes are bounded before they are kept.
MAX_NAME = 128
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]


class Start(NamedTuple):
    """One run of a runner's process."""

    runner: Name
    born_ms: StartMs = 0


class Suspects:
    """Counts the runners that ended under each request.

    A runner's end takes along all that it runs, so each of these requests is
    suspect. What tells them apart: a sound one is answered elsewhere, and then
    it is none any more; the harmful one ends whatever runner it runs on, also
    alone. Once that one is known, the ends that it caused count against no other.
    """

    def __init__(self) -> None:
        """Suspect nothing."""
        self._starts: dict[str, dict[Start, None]] = {}
        self._ended: dict[Start, None] = {}
        self._explained: dict[Start, None] = {}
        self._since: dict[str, float] = {}

    def note_end(self, content_id: str, start: Start) -> int:
        """Note that a runner ended under a request; returns how many have."""
        self._ended[start] = None
        forget_oldest(self._ended, REMEMBERED)
        if start in self._explained and content_id not in self._since:
            return self.ends(content_id)
        starts = self._starts.pop(content_id, {})
        starts[start] = None
        self._starts[content_id] = starts
        forget_oldest(self._starts, REMEMBERED)
        return len(starts)

    def has_ended(self, start: Start) -> bool:
        """Tell whether a runner is known to have ended."""
        return start in self._ended

    def note_served(self, content_id: str) -> bool:
        """Note that a request was answered whole; tells whether it was suspect."""
        self._since.pop(content_id, None)
        return self._starts.pop(content_id, None) is not None

    def ends(self, content_id: str) -> int:
        """Return how many runners have ended under a request."""
        return len(self._starts.get(content_id, ()))

    def count_ends(self) -> int:
        """Return how many ends of runners count against requests, an end once for each."""
        return sum(len(starts) for starts in self._starts.values())

    def starts(self, content_id: str) -> tuple[Start, ...]:
        """Return the runners that ended under a request."""
        return tuple(self._starts.get(content_id, ()))

    def needs_trial(self, content_id: str) -> bool:
        """Tell whether a request may only be sent alone."""
        return self.ends(content_id) >= TRIAL_FROM

    def quarantined(self, content_id: str) -> bool:
        """Tell whether a request may not be sent at all."""
        return content_id in self._since

    def quarantine(self, content_id: str, now: float) -> None:
        """Note that a request ends the runners that run it."""
        self._since.setdefault(content_id, now)
        for start in self._starts.get(content_id, ()):
            self._explain(start)
        forget_oldest(self._since, REMEMBERED)

    def release(self, content_id: str) -> bool:
        """End a quarantine; tells whether there was one. The next send is a trial."""
        return self._since.pop(content_id, None) is not None

    def left_s(self, content_id: str, now: float) -> float:
        """Return how much of its quarantine a request has before it, in seconds."""
        since = self._since.get(content_id)
        return 0 if since is None else max(since + QUARANTINE_S - now, 0)

    def lapsed(self, now: float) -> list[str]:
        """Return the requests whose quarantine is over."""
        return [content_id for content_id, since in self._since.items() if now - since >= QUARANTINE_S]

    def all_quarantined(self) -> tuple[str, ...]:
        """Return the requests that may not be sent."""
        return tuple(self._since)

    def all_suspect(self) -> tuple[str, ...]:
        """Return the requests under which any runner has ended, the newest last."""
        return tuple(self._starts)

    def _explain(self, start: Start) -> None:
        """Count the end of ``start`` against no request but the quarantined ones."""
        self._explained[start] = None
        forget_oldest(self._explained, REMEMBERED)
        for content_id, starts in tuple(self._starts.items()):
            if content_id in self._since:
                continue
            starts.pop(start, None)
            if not starts:
                self._starts.pop(content_id)


__all__ = ('MAX_NAME', 'QUARANTINE_S', 'TRIAL_FROM', 'Name', 'Start', 'Suspects')
