"""Rate limits of all runners, and the permits to send requests to them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_limit.belief import FIRST_SENDS
from sesamepoint_core.runner_limit.sharing import UNKNOWN_S, Sharing
from sesamepoint import events
from sesamepoint.front.runner_words import FROM_ANSWER

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.job import Job
    from sesamepoint.front.limit_words import AskWord, GrantWord
    from sesamepoint.front.member import Member

START_BITS = 50
# Least time between two log lines about the limit of one runner, in seconds: each answer
# may report another one.
LINE_EVERY_S = 1.0
# Expected wait for the first answer of a runner, in seconds; most answer within it.
FIRST_ANSWER_S = 0.1


class RunnerLimits:
    """Known rate limit of each incarnation of a runner, and the permits for it."""

    def __init__(self, entry: str, rng: Random) -> None:
        """Start without limits, with the name of this instance."""
        # Set when there may be a message to send, or a waiting request to release.
        self.fresh = trio.Event()
        self._entry = entry
        self._rng = rng
        self._start = rng.getrandbits(START_BITS)
        self._own_from = math.inf
        self._sharings: dict[Start, Sharing] = {}
        self._lines = _Lines()

    def begin(self) -> None:
        """Note that this instance starts now; it uses its own shares only after a while."""
        self._own_from = trio.current_time() + UNKNOWN_S

    def count(self) -> int:
        """Return how many runners have a limit."""
        return sum(self.limited(incarnation) for incarnation in self._sharings)

    def sharings(self) -> list[tuple[Start, Sharing]]:
        """Return all known limits, also those that have ended and are not dropped yet."""
        return list(self._sharings.items())

    def limited(self, start: Start) -> bool:
        """Return whether a runner has a limit, or one that ended lately and still grows."""
        return self._limiting(start) is not None

    def admits(self, member: Member, job: Job) -> bool:
        """Return whether the limit lets ``job`` be sent to ``member`` now."""
        return member.in_flight < self.room(member) and self.has_permit(member.start, job)

    def room(self, member: Member) -> float:
        """Return how many requests may be in flight at ``member``; bounded until it answers or has a known limit."""
        if member.answered or self.limited(member.start):
            return math.inf
        return FIRST_SENDS

    def has_permit(self, start: Start, job: Job) -> bool:
        """Return whether there is a permit to send ``job`` to a runner, or none is needed."""
        limit = self._limiting(start)
        return limit is None or start in job.standing.permits or limit.stock(trio.current_time()) > 0

    def set_aside(self, member: Member, job: Job) -> bool:
        """Reserve a permit if ``job`` needs one for ``member``; return whether it may be sent."""
        incarnation = member.start
        if incarnation in job.standing.permits or self._limiting(incarnation) is None:
            return True
        self.fresh.set()
        return self.reserve(incarnation, job)

    def use(self, start: Start, job: Job) -> None:
        """Use a permit, since ``job`` is sent to the runner."""
        if start in job.standing.permits:
            job.standing.permits.discard(start)
            return
        limit = self._limiting(start)
        if limit is not None:
            limit.take(trio.current_time())
            self.fresh.set()

    def reserve(self, start: Start, job: Job) -> bool:
        """Reserve a permit for ``job``; return whether there was one."""
        limit = self._sharings.get(start)
        if limit is None or not limit.take(trio.current_time()):
            return False
        job.standing.permits.add(start)
        return True

    def give_back(self, job: Job) -> None:
        """Take back the permits that are reserved for ``job`` and not used."""
        for incarnation in job.standing.permits:
            limit = self._sharings.get(incarnation)
            if limit is not None:
                limit.put_back(trio.current_time())
        job.standing.permits.clear()

    def expected_rate(self, start: Start, priority: int) -> float | None:
        """Return the permits a second that requests of ``priority`` can expect; None if the runner has no limit."""
        limit = self._limiting(start)
        return None if limit is None else limit.expected_rate(priority, trio.current_time())

    def place_s(self, start: Start) -> float:
        """Return the seconds between two requests at the whole limit of a runner; 0 without one, or at a limit of 0."""
        limit = self._sharings.get(start)
        rate = limit.belief.allowed(trio.current_time()) if limit else None
        return 1 / rate if rate else 0

    def permit_wait_s(self, member: Member, job: Job) -> float:
        """Return how many seconds ``job`` can expect to wait for a permit for ``member``."""
        if self.admits(member, job):
            return 0
        rate = self.expected_rate(member.start, job.priority)
        if rate is None:
            return FIRST_ANSWER_S
        return 1 / rate if rate else math.inf

    def note_named(self, start: Start, rate: float) -> None:
        """Record the limit that an answer of a runner reports."""
        if self._sharing(start).belief.named(rate, trio.current_time()):
            self._lines.told(start, rate, FROM_ANSWER, 0, ended=False)
            self.fresh.set()

    def note_silent(self, start: Start, sent_at: float) -> None:
        """Record that a successful answer to a request that was sent at ``sent_at`` reports no limit."""
        limit = self._sharings.get(start)
        if limit is not None and limit.belief.unnamed(sent_at, trio.current_time()):
            self._lines.told(start, 0, FROM_ANSWER, 0, ended=True)
            self.fresh.set()

    def heard(self, word: AskWord | GrantWord) -> None:
        """Handle a message of a peer about a limit."""
        update = word.word.told
        if word.start not in self._sharings and (update is None or update.ended):
            return
        if self._sharing(word.start).heard(word.entry, word.word, trio.current_time()) and update is not None:
            self._lines.told(word.start, update.rate, word.entry, update.age_s, ended=update.ended)
        self.fresh.set()

    def forget(self, start: Start, cause: str) -> None:
        """Drop a limit."""
        self._sharings.pop(start, None)
        self._lines.forget(start, cause)

    def _limiting(self, start: Start) -> Sharing | None:
        """Return the limit of a runner; None if it has none."""
        limit = self._sharings.get(start)
        if limit is None or limit.belief.allowed(trio.current_time()) is None:
            return None
        return limit

    def _sharing(self, start: Start) -> Sharing:
        limit = self._sharings.get(start)
        if limit is None:
            limit = Sharing(self._entry, start.runner, self._start, self._own_from, self._rng.random())
            self._sharings[start] = limit
        return limit


class _Lines:
    """Writes log lines about limits, with a bounded rate for each runner."""

    def __init__(self) -> None:
        self._told_at: dict[Start, float] = {}

    def told(self, start: Start, rate: float, source: str, age_s: float, *, ended: bool) -> None:
        if ended:
            events.log_event(events.LIMIT_ENDED, runner=start.runner, source=source, age_s=round(age_s, 3))
        elif self._due(self._told_at, start, LINE_EVERY_S):
            events.log_event(events.LIMIT_NAMED, runner=start.runner, rate=rate, source=source, age_s=round(age_s, 3))

    def forget(self, start: Start, cause: str) -> None:
        self._told_at.pop(start, None)
        events.log_event(events.LIMIT_FORGOTTEN, runner=start.runner, cause=cause)

    def _due(self, written: dict[Start, float], start: Start, every_s: float) -> bool:
        now = trio.current_time()
        if now - written.get(start, -math.inf) < every_s:
            return False
        written[start] = now
        return True


__all__ = ('RunnerLimits',)
