"""Known status of all runners, from the heads of their answers."""

from __future__ import annotations

import math
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.runner_status.known_status import NO_STATUS, KnownStatus
from sesamepoint_core.runner_status.status_headers import BackOff, Draining, NoRateLimit, RateLimit, Unreadable
from sesamepoint_core.serving.poison_requests import MAX_NAME_CHARS, Incarnation
from sesamepoint import events
from sesamepoint.front.runners.status_sources import FROM_ANSWER
from sesamepoint.platform.headers import responding_incarnation
from sesamepoint.platform.runner_status_headers import UNAVAILABLE, decode_status

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.runner_status.status_headers import StatusHeader
    from sesamepoint.front.runners.runner_limits import RunnerLimits
    from sesamepoint.http1.messages import ResponseHead

# Number of incarnations of runners whose status is kept; the oldest are dropped first. A day
# has a few hundred.
MAX_INCARNATIONS = 4096
# Least time between two log lines about an undecodable header of one kind from one runner,
# in seconds: each answer may have one.
UNREADABLE_LOG_INTERVAL_S = 10.0


class RunnerStatuses:
    """Keeps the status of each incarnation of a runner up to date from status headers."""

    def __init__(self, limits: RunnerLimits) -> None:
        """Start without any status; rate limits are kept by ``limits``."""
        self.limits = limits
        # Called when an incarnation reports in an answer that it is draining.
        self.on_draining: Callable[[Incarnation], None] | None = None
        # Called when an incarnation asks this instance to back off for so many seconds.
        self.on_back_off: Callable[[Incarnation, float], None] | None = None
        # Called with the key of a runner and the start that it reports, in milliseconds, if it has restarted.
        self.on_restarted: Callable[[str, int], object] | None = None
        self._statuses: dict[Incarnation, KnownStatus] = {}
        self._unreadable_at: dict[tuple[Incarnation, str], float] = {}

    def note_answer(self, incarnation: Incarnation, head: ResponseHead, sent_at: float) -> None:
        """Process the status headers in the answer to a request that was sent at ``sent_at``.

        If another runner has the address by now, the headers apply to that one, whether it
        is already known here or not.
        """
        named = responding_incarnation(head, incarnation.runner)
        if named != incarnation.runner:
            if not 0 < len(named) <= MAX_NAME_CHARS:
                return
            incarnation = Incarnation(named)
        if incarnation in self._statuses and head.status != UNAVAILABLE:
            self._statuses[incarnation].clear_peer_back_off()
        for header in decode_status(head):
            self.take(header, incarnation, sent_at)

    def status_of(self, incarnation: Incarnation) -> KnownStatus:
        """Return the known status of an incarnation, for reading only."""
        return self._statuses.get(incarnation, NO_STATUS)

    def draining(self) -> list[Incarnation]:
        """Return all incarnations known to be draining, including those that have gone."""
        return [incarnation for incarnation, status in self._statuses.items() if status.draining]

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the status of an incarnation that has been followed by another one."""
        status = self._statuses.pop(incarnation, None)
        if status is not None:
            events.log_event(
                events.RUNNER_STATUS_DROPPED,
                runner=incarnation.runner,
                born_ms=incarnation.born_ms,
                leaving=status.draining,
                rest_left_s=round(status.back_off_left_s(trio.current_time()), 3),
            )

    def note_draining(self, incarnation: Incarnation, source: str, age_s: float) -> bool:
        """Mark a runner as draining, as ``source`` learned ``age_s`` seconds ago; return whether it was not marked."""
        changed = self._get_or_create(incarnation).mark_draining()
        if changed:
            events.log_event(
                events.DRAINING_REPORTED,
                runner=incarnation.runner,
                born_ms=incarnation.born_ms,
                source=source,
                age_s=round(age_s, 3),
            )
        return changed

    def note_peer_back_off(self, incarnation: Incarnation, for_s: float, source: str) -> None:
        """Record that a runner has asked the peer ``source`` to back off for ``for_s`` seconds."""
        if self._get_or_create(incarnation).note_peer_back_off(for_s, trio.current_time()):
            events.log_event(
                events.PEER_BACK_OFF_REPORTED,
                runner=incarnation.runner,
                born_ms=incarnation.born_ms,
                for_s=for_s,
                source=source,
            )

    @singledispatchmethod
    def take(self, header: StatusHeader, incarnation: Incarnation, sent_at: float) -> None:
        """Process one status header of a runner, in an answer to a request that was sent at ``sent_at``."""
        raise NotImplementedError(f'no handler for {header!r} is registered')

    @take.register(Draining)
    def _take_draining(self, _: Draining, incarnation: Incarnation, sent_at: float) -> None:
        if self.note_draining(incarnation, FROM_ANSWER, 0) and self.on_draining is not None:
            self.on_draining(incarnation)

    @take.register(BackOff)
    def _take_back_off(self, header: BackOff, incarnation: Incarnation, sent_at: float) -> None:
        now = trio.current_time()
        status = self._get_or_create(incarnation)
        known_s = status.back_off_left_s(now)
        if status.back_off(header.for_s, now):
            events.log_event(
                events.BACK_OFF_REQUESTED,
                runner=incarnation.runner,
                born_ms=incarnation.born_ms,
                for_s=header.for_s,
                known_s=round(known_s, 3),
            )
            if self.on_back_off is not None:
                self.on_back_off(incarnation, header.for_s)

    @take.register(RateLimit)
    def _take_rate_limit(self, header: RateLimit, incarnation: Incarnation, sent_at: float) -> None:
        self.limits.on_reported(incarnation, header.rate)

    @take.register(NoRateLimit)
    def _take_no_rate_limit(self, _: NoRateLimit, incarnation: Incarnation, sent_at: float) -> None:
        self.limits.on_not_reported(incarnation, sent_at)

    @take.register(Unreadable)
    def _take_unreadable(self, header: Unreadable, incarnation: Incarnation, sent_at: float) -> None:
        now = trio.current_time()
        key = (incarnation, header.header)
        if now - self._unreadable_at.get(key, -math.inf) < UNREADABLE_LOG_INTERVAL_S:
            return
        self._unreadable_at.pop(key, None)
        self._unreadable_at[key] = now
        drop_oldest(self._unreadable_at, MAX_INCARNATIONS)
        events.log_event(
            events.STATUS_HEADER_UNREADABLE, runner=incarnation.runner, word=header.header, text=header.text
        )

    def _get_or_create(self, incarnation: Incarnation) -> KnownStatus:
        """Return the known status of an incarnation, for modifying; create it if there is none."""
        status = self._statuses.get(incarnation)
        if status is None:
            status = KnownStatus()
            self._statuses[incarnation] = status
            drop_oldest(self._statuses, MAX_INCARNATIONS)
        return status


__all__ = ('RunnerStatuses',)
