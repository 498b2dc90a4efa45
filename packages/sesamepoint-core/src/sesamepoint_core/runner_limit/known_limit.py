"""Known rate limit of one incarnation of a runner."""

from __future__ import annotations

import math
from typing import NamedTuple

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.decimals import plain_decimal
from sesamepoint_core.runner_limit.stamp import Stamp

# Longest text of a rate, in characters; a longer one is rejected as meaningless.
MAX_RATE_CHARS = 32
# A limit of at least this rate, in requests a second, counts as no limit: no instance can send as many requests.
UNLIMITED_RATE = 1_000_000.0
# A limit ends when an answer without one comes at least so many seconds after the last
# answer that reported it.
MIN_SILENCE_S = 0.5
# Most requests of one instance in flight at a runner that has not answered it yet: the
# instance can't know yet whether there is a limit.
FIRST_IN_FLIGHT = 2
# A runner with a limit of 0 gets no requests, so no answer could report a higher limit:
# one request is sent as a probe each time so many seconds have passed.
ZERO_PROBE_S = 10.0
# After the end of a limit the allowed rate doubles in this time, in seconds: the cause
# of the limit may come back with the load.
RAMP_DOUBLING_S = 1.0
# After this many doublings the limit is dropped.
RAMP_DOUBLINGS = 6
# Incarnations of instances whose newest stamp is remembered.
MAX_INCARNATIONS = 2048
# Lowest rate, in requests a second, from which an ended limit grows.
MIN_RAMP_RATE = 1.0


class ReportedLimit(NamedTuple):
    """The newest report of a runner's rate limit.

    Parameters
    ----------
    origin
        The instance that received it, and when by its own clock.
    rate
        Requests a second from all instances together.
    reported_at
        When an answer last reported it, on this instance's clock.
    ended_at
        When an answer without a limit ended it; None while it is in force.
    """

    origin: Stamp
    rate: float
    reported_at: float
    ended_at: float | None = None

    @property
    def changed_at(self) -> float:
        """Return when the limit was last reported, or when it ended."""
        return self.reported_at if self.ended_at is None else self.ended_at

    @property
    def state(self) -> tuple[float, bool]:
        """Return the limit, and whether it is in force."""
        return self.rate, self.ended_at is None


class KnownLimit:
    """The newest limit reported by answers or by peers.

    The transit time of an update is unknown, so a late one seems newer than it is. Each
    update is therefore accepted once: sent back and forth it would always seem new.
    """

    def __init__(self, incarnation: int) -> None:
        """Start without a limit, with the number of this incarnation of the instance."""
        self.reported: ReportedLimit | None = None
        self._incarnation = incarnation
        self._newest_stamps: dict[int, float] = {}

    def on_reported(self, rate: float, now: float) -> bool:
        """Record the limit that an answer reports; return whether it has changed."""
        before = self.reported
        self.reported = ReportedLimit(Stamp(self._incarnation, now), rate, now)
        return before is None or before.state != self.reported.state

    def on_not_reported(self, sent_at: float, now: float) -> bool:
        """Record that an answer to a request sent at ``sent_at`` has no limit; return whether this ends the limit.

        Answers can arrive out of order: the answer to an earlier request may have
        been made before the limit was reported.
        """
        reported = self.reported
        if reported is None or reported.ended_at is not None:
            return False
        if sent_at <= reported.reported_at or now - reported.reported_at < MIN_SILENCE_S:
            return False
        self.reported = reported._replace(origin=Stamp(self._incarnation, now), ended_at=now)
        return True

    def on_peer_update(self, update: ReportedLimit) -> bool:
        """Record the update of a peer if it is newer; return whether the limit has changed."""
        if self._has_seen(update.origin):
            return False
        before = self.reported
        if before is not None and update.changed_at <= before.changed_at:
            return False
        self.reported = update
        return before is None or before.state != update.state

    def allowed_rate(self, now: float) -> float | None:
        """Return the rate allowed to all instances together, in requests a second; None without a limit."""
        reported = self.reported
        if reported is None:
            return None
        if reported.ended_at is not None:
            return self._ramp_rate(reported, now - reported.ended_at)
        if reported.rate == 0 and now - reported.reported_at > ZERO_PROBE_S:
            return 1 / ZERO_PROBE_S
        return reported.rate

    def _has_seen(self, origin: Stamp) -> bool:
        if origin.incarnation == self._incarnation or origin.at <= self._newest_stamps.get(
            origin.incarnation, -math.inf
        ):
            return True
        self._newest_stamps.pop(origin.incarnation, None)
        self._newest_stamps[origin.incarnation] = origin.at
        drop_oldest(self._newest_stamps, MAX_INCARNATIONS)
        return False

    def _ramp_rate(self, ended: ReportedLimit, since_s: float) -> float | None:
        doublings = since_s / RAMP_DOUBLING_S
        if doublings > RAMP_DOUBLINGS:
            self.reported = None
            return None
        return max(ended.rate, MIN_RAMP_RATE) * math.pow(2, doublings)


def parse_rate(text: str) -> float:
    """Parse a rate in requests a second, a plain decimal number.

    Raises
    ------
    ValueError
        If ``text`` is anything else, or longer than 32 characters.
    """
    rate = plain_decimal(text)
    if len(rate) > MAX_RATE_CHARS:
        raise ValueError('limit has too many characters')
    return float(rate)


__all__ = ('FIRST_IN_FLIGHT', 'UNLIMITED_RATE', 'KnownLimit', 'ReportedLimit', 'parse_rate')
