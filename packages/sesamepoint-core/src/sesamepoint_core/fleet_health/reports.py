"""Reports of instances about a runner, and the windows that they count in."""

from __future__ import annotations

import math
from enum import IntEnum
from statistics import median
from typing import Annotated, NamedTuple

import msgspec

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.serving.poison_requests import Incarnation

# Highest count that is accepted from a peer; a false report must not outweigh all others.
MAX_COUNT = 1_000_000
# Longest response time that is accepted from a peer, in seconds.
MAX_RESPONSE_S = 3600
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
WindowNumber = Annotated[int, msgspec.Meta(ge=0)]
MeanCount = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
ResponseS = Annotated[float, msgspec.Meta(ge=0, le=MAX_RESPONSE_S)]
# Weight of the newest response in the mean response time.
RESPONSE_GAIN = 0.1
# Shortest length of a window, in seconds.
WINDOW_S = 2.0
# Most peers whose reports on one runner are kept; the oldest are dropped first.
MAX_PEERS = 1024
# Most that one peer's requests in flight count for, in medians of all peers.
MAX_MEDIANS = 3
# Least time between two sums of the reports of all peers, in seconds, and for each peer. Each peer
# reports at most every 0.5 s, and of 350 peers each some 15 s.
MIN_SUM_INTERVAL_S = 0.1
SUM_INTERVAL_S_PER_PEER = 0.002
# Decimal places of times and mean counts in reports.
PLACES = 3


class ProbeState(IntEnum):
    """State of the latest probe of a reporter."""

    none = 0
    # The health page reports the runner healthy; requests may be sent as trials.
    opened = 1
    # A request was sent as a trial.
    sent = 2
    failed = 3
    passed = 4


class RunnerReport(NamedTuple):
    """What one instance observed at a runner in its current window.

    Parameters
    ----------
    window
        Number of the sender's window; the counts of one window only grow.
    in_flight
        Mean number of its requests in flight since its last report.
    response_s
        Mean response time in seconds; 0 if unknown.
    repeatable
        Whether requests that may be repeated came to the runner's service lately.
    """

    incarnation: Incarnation
    window: WindowNumber
    successes: Count
    failures: Count
    connect_failures: Count
    rejections: Count
    in_flight: MeanCount
    response_s: ResponseS
    repeatable: bool = False
    probe: ProbeState = ProbeState.none


class Counts(NamedTuple):
    """Numbers of outcomes."""

    successes: int = 0
    failures: int = 0
    connect_failures: int = 0
    rejections: int = 0

    def minus(self, earlier: Counts) -> Counts:
        """Return what was counted since ``earlier``; nothing if this is the older one."""
        return Counts(*(max(mine - other, 0) for mine, other in zip(self, earlier, strict=True)))


class OwnWindow:
    """Outcomes and load that this instance observes at one runner."""

    def __init__(self) -> None:
        """Start with an empty window."""
        self.counts = Counts()
        self.response_s: float = 0
        self.probe = ProbeState.none
        self._number = 0
        self._began_at: float = 0
        self._level = 0
        self._level_at: float = 0
        self._busy_s: float = 0
        self._reported_at: float = 0
        self._reported: tuple[object, ...] = (Counts(), ProbeState.none, 0)

    def note_success(self, took_s: float) -> None:
        """Count an answer that took ``took_s`` seconds."""
        self.counts = self.counts._replace(successes=self.counts.successes + 1)
        gain = RESPONSE_GAIN if self.response_s else 1
        self.response_s += gain * (took_s - self.response_s)

    def note_failure(self) -> None:
        """Count a failure."""
        self.counts = self.counts._replace(failures=self.counts.failures + 1)

    def note_connect_failure(self) -> None:
        """Count a failure to connect."""
        self.counts = self.counts._replace(connect_failures=self.counts.connect_failures + 1)

    def note_rejection(self) -> None:
        """Count a rejected request."""
        self.counts = self.counts._replace(rejections=self.counts.rejections + 1)

    def note_level(self, in_flight: int, now: float) -> None:
        """Note how many requests are in flight from now on."""
        self._busy_s += self._level * (now - self._level_at)
        self._level = in_flight
        self._level_at = now

    def forget_probe(self) -> None:
        """Drop the state of the latest probe, since the runner was ejected after it; the next one is reported anew."""
        self.probe = ProbeState.none
        self._reported = (self._reported[0], ProbeState.none, self._reported[2])

    def mean_in_flight(self, now: float) -> float:
        """Return the mean number of requests in flight since the last report."""
        span_s = now - self._reported_at
        busy_s = self._busy_s + self._level * (now - self._level_at)
        return round(busy_s / span_s, PLACES) if span_s > 0 else self._level

    def changed(self, now: float) -> bool:
        """Tell whether there is anything to report."""
        return self._reported != (self.counts, self.probe, self.mean_in_flight(now))

    def report(self, incarnation: Incarnation, now: float, *, repeatable: bool) -> RunnerReport:
        """Return the report on the current window."""
        return RunnerReport(
            incarnation,
            self._number,
            *self.counts,
            self.mean_in_flight(now),
            round(self.response_s, PLACES),
            repeatable,
            self.probe,
        )

    def note_reported(self, now: float) -> None:
        """Note that a report was sent, and begin a new window if this one is long enough."""
        mean = self.mean_in_flight(now)
        self.note_level(self._level, now)
        self._busy_s = 0
        self._reported_at = now
        if now - self._began_at >= WINDOW_S:
            self._began_at = now
            self._number += 1
            self.counts = Counts()
            self.probe = ProbeState.none
        self._reported = (self.counts, self.probe, mean)


class PeerWindow:
    """The latest report of one peer about one runner."""

    def __init__(self) -> None:
        """Start without a report."""
        self.taken_at: float = 0
        self._report: RunnerReport | None = None
        self._expires_at: float = 0

    def take(self, report: RunnerReport, now: float, ttl_s: float) -> NewlyReported | None:
        """Return what ``report`` adds to the latest one; None if it is late or a duplicate.

        After the expiry of the latest report, lower windows and counts are accepted: they are
        those of a restarted peer, whose windows are numbered from zero again. What was counted of
        a window does not count again, since one may be reported on over longer than the expiry.
        """
        earlier = self._report
        if report == earlier or (earlier is not None and self.live(now) and report.window < earlier.window):
            return None
        same = earlier is not None and report.window == earlier.window
        known = _counts(earlier) if same and earlier is not None else Counts()
        if any(new < old for new, old in zip(_counts(report), known, strict=True)):
            if self.live(now):
                return None
            known = Counts()
        probe = ProbeState.none if same and earlier is not None and report.probe is earlier.probe else report.probe
        self._report = report
        self.taken_at = now
        self._expires_at = now + ttl_s
        return NewlyReported(_counts(report).minus(known), probe)

    def forget_opened(self) -> None:
        """Count the next report of a healthy page as a new one, even in the window of the latest.

        Other states stay: a late report of a probe that passed before must not put the runner back into use.
        """
        if self._report is not None and self._report.probe is ProbeState.opened:
            self._report = self._report._replace(probe=ProbeState.none)

    def live(self, now: float) -> bool:
        """Tell whether the report has not expired."""
        return self._report is not None and now < self._expires_at

    def in_flight(self, now: float) -> float:
        """Return the mean number of requests of the peer in flight; 0 if the report has expired."""
        return self._report.in_flight if self._report is not None and self.live(now) else 0

    def response_s(self, now: float) -> float:
        """Return the mean response time that the peer observed; 0 if it is unknown."""
        return self._report.response_s if self._report is not None and self.live(now) else 0


class PeerWindows:
    """The latest reports of all peers about one runner."""

    def __init__(self) -> None:
        """Start without reports."""
        self._windows: dict[str, PeerWindow] = {}
        self._summed_at = -math.inf
        self._in_flight: float = 0
        self._response_s: float = 0

    def take(self, peer: str, report: RunnerReport, now: float, ttl_s: float) -> NewlyReported | None:
        """Return what a report of ``peer`` adds; None if it is late or a duplicate."""
        new = self._windows.setdefault(peer, PeerWindow()).take(report, now, ttl_s)
        drop_oldest(self._windows, MAX_PEERS)
        return new

    def forget_opened(self) -> None:
        """Count the next report of a healthy page of each peer as a new one."""
        for window in self._windows.values():
            window.forget_opened()

    def in_flight(self, now: float) -> float:
        """Return how many requests of the peers are in flight, by their reports.

        Requests pile up at an instance with a bad link, and are no load on the runner,
        so no peer counts for more than some times the median.
        """
        self._sum(now)
        return self._in_flight

    def response_s(self, now: float) -> float:
        """Return the mean response time that peers observed, in seconds; 0 if it is unknown."""
        self._sum(now)
        return self._response_s

    def unreported(self, now: float) -> float:
        """Return how many requests the peers have sent since their last reports, by their load and response time."""
        response_s = self.response_s(now)
        if not response_s:
            return 0
        live = (window for window in self._windows.values() if window.live(now))
        return sum(window.in_flight(now) * (now - window.taken_at) for window in live) / response_s

    def _sum(self, now: float) -> None:
        """Sum the reports up, unless that was done lately: the sums are read several times for each request."""
        if now - self._summed_at < max(MIN_SUM_INTERVAL_S, SUM_INTERVAL_S_PER_PEER * len(self._windows)):
            return
        self._summed_at = now
        live = [window for window in self._windows.values() if window.live(now)]
        reported = [window.in_flight(now) for window in live]
        most = max(1, MAX_MEDIANS * median(reported)) if reported else 0
        self._in_flight = sum(min(one, most) for one in reported)
        observed = [window.response_s(now) for window in live]
        known = [seconds for seconds in observed if seconds]
        self._response_s = sum(known) / len(known) if known else 0


class NewlyReported(NamedTuple):
    """What a report adds to the one before: outcomes, and the state of a probe if it changed."""

    counts: Counts
    probe: ProbeState


def _counts(report: RunnerReport) -> Counts:
    return Counts(report.successes, report.failures, report.connect_failures, report.rejections)


__all__ = (
    'WINDOW_S',
    'Counts',
    'NewlyReported',
    'OwnWindow',
    'PeerWindow',
    'PeerWindows',
    'ProbeState',
    'RunnerReport',
)
