"""Detection and quarantine of poison requests, from the runner failures that all instances saw."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sesamepoint_core.bounded import forget_oldest
from sesamepoint_core.serving.runner import StartMs

# Number of runners that ended under a request from which on it is sent alone, as a probe.
# The end of one runner doesn't suffice: any request there may have caused it, or none.
TRIAL_FROM = 2
# Seconds after which a quarantined request is sent once more: engines get fixed, and a
# harmless request may have run at three that failed by themselves. The users accept
# three more sends of a poison request; with 8 hours these are a day's.
QUARANTINE_S = 28_800.0
# Most requests, and most ended runners, that are remembered; the least recently updated
# go first. A hundred failed engines a day with 50 requests each fit in.
REMEMBERED = 8192

# Longest name that is accepted from another process, in characters.
MAX_NAME = 128
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]


class Start(NamedTuple):
    """One incarnation of a runner: a run of its process."""

    runner: Name
    born_ms: StartMs = 0


class Suspects:
    """The runners that ended under each request, and the requests in quarantine.

    A runner that fails ends all requests that run there, so each of them is suspect.
    A harmless request is answered by another runner and is no suspect from then on. A
    poison request ends each runner that it runs on, also when it runs alone. Once it
    is known, the ends that it caused no longer count against other requests.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        self._starts: dict[str, dict[Start, None]] = {}
        self._ended: dict[Start, None] = {}
        self._explained: dict[Start, None] = {}
        self._since: dict[str, float] = {}

    def note_end(self, content_id: str, start: Start) -> int:
        """Note that a runner ended under a request; returns how many have done so."""
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
        """Tell whether an incarnation of a runner is known to have ended."""
        return start in self._ended

    def note_served(self, content_id: str) -> bool:
        """Note that a request was answered completely; returns whether it was suspect."""
        self._since.pop(content_id, None)
        return self._starts.pop(content_id, None) is not None

    def ends(self, content_id: str) -> int:
        """Return how many runners have ended under a request."""
        return len(self._starts.get(content_id, ()))

    def count_ends(self) -> int:
        """Return the sum over all suspect requests of the runners that ended under them."""
        return sum(len(starts) for starts in self._starts.values())

    def starts(self, content_id: str) -> tuple[Start, ...]:
        """Return the runners that ended under a request."""
        return tuple(self._starts.get(content_id, ()))

    def needs_trial(self, content_id: str) -> bool:
        """Tell whether a request may only be sent alone, as a probe."""
        return self.ends(content_id) >= TRIAL_FROM

    def quarantined(self, content_id: str) -> bool:
        """Tell whether a request may not be sent at all."""
        return content_id in self._since

    def quarantine(self, content_id: str, now: float) -> None:
        """Put a request in quarantine; the ends that it caused stop counting against others."""
        self._since.setdefault(content_id, now)
        for start in self._starts.get(content_id, ()):
            self._explain(start)
        forget_oldest(self._since, REMEMBERED)

    def release(self, content_id: str) -> bool:
        """End a quarantine; returns whether there was one. The next send is a probe."""
        return self._since.pop(content_id, None) is not None

    def left_s(self, content_id: str, now: float) -> float:
        """Return the rest of the quarantine of a request, in seconds; 0 if there is none."""
        since = self._since.get(content_id)
        return 0 if since is None else max(since + QUARANTINE_S - now, 0)

    def lapsed(self, now: float) -> list[str]:
        """Return the requests whose quarantine is over."""
        return [content_id for content_id, since in self._since.items() if now - since >= QUARANTINE_S]

    def all_quarantined(self) -> tuple[str, ...]:
        """Return all requests in quarantine."""
        return tuple(self._since)

    def all_suspect(self) -> tuple[str, ...]:
        """Return the requests under which a runner has ended, the last updated ones last."""
        return tuple(self._starts)

    def _explain(self, start: Start) -> None:
        """Let the end of an incarnation count against quarantined requests only."""
        self._explained[start] = None
        forget_oldest(self._explained, REMEMBERED)
        for content_id, starts in tuple(self._starts.items()):
            if content_id in self._since:
                continue
            starts.pop(start, None)
            if not starts:
                self._starts.pop(content_id)


__all__ = ('MAX_NAME', 'QUARANTINE_S', 'TRIAL_FROM', 'Name', 'Start', 'Suspects')
