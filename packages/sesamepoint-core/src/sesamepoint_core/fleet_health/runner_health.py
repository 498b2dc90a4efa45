"""Health of one incarnation of a runner, from the observations of all instances."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING

from sesamepoint_core.fleet_health.evidence import MAX_FAILURES_OF_REPORTER, MIN_REPORTERS, OWN, Evidence, Outcomes
from sesamepoint_core.fleet_health.failure_share import FailureShare
from sesamepoint_core.fleet_health.half_open import HalfOpen, TrialRequest
from sesamepoint_core.fleet_health.reports import NewlyReported, OwnWindow, PeerWindows, ProbeState
from sesamepoint_core.serving.health import RunnerSilence

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.fleet_health.reports import RunnerReport


class HealthChange(StrEnum):
    """Change of a runner's state by a report of a peer."""

    none = 'none'
    ejected = 'ejected'
    returned = 'returned'
    probe_failed = 'probe_failed'


class RunnerHealth(RunnerSilence):
    """Health of one incarnation of a runner; the only place that decides on its ejection.

    An ejected runner returns through one probe at a time. Requests that were sent
    before the probe say nothing about whether the runner has recovered.
    """

    def __init__(self) -> None:
        """Assume that the runner is healthy."""
        super().__init__()
        self.own = OwnWindow()
        self.half_open = HalfOpen()
        # Whether this instance ejected the runner on its own evidence only.
        self.alone = False
        # Called if peers must learn something at once.
        self.on_urgent: Callable[[], None] | None = None
        # Called if a probe of this instance has put the runner back into use.
        self.on_returned: Callable[[], None] | None = None
        self.evidence = Evidence()
        self.peers = PeerWindows()
        self._connected: set[int] = set()
        self.failures = FailureShare()
        self._connect_failures = 0
        # When this instance sent its first trial since the ejection; infinite if it sent none.
        self._own_trial_at = math.inf

    def eligible(self, now: float) -> bool:
        """Tell whether requests may be sent to the runner."""
        return not self.half_open.ejected and not self.silent(now)

    def admits_trial(self, now: float, trial: TrialRequest) -> bool:
        """Tell whether a request may be sent to the ejected runner as a trial."""
        return not self.silent(now) and self.half_open.admits(now, trial)

    def partly_works(self, now: float) -> bool:
        """Tell whether the runner answers some requests, even if it is ejected."""
        return not self.silent(now) and self._connect_failures == 0

    def note_sent(self, now: float) -> int:
        """Note that a request awaits its first response; returns its ticket."""
        if self.half_open.due(now, 0):
            self.half_open.begin_trial(now)
            # The first trial since the ejection decides too: answers may take longer than the time between trials.
            self._own_trial_at = min(self._own_trial_at, now)
            self._announce(ProbeState.sent)
        return super().note_sent(now)

    def note_connected(self, ticket: int, now: float) -> None:
        """Note that the request with ``ticket`` has a connection; only from then on it is load on the runner."""
        self._connected.add(ticket)
        self.own.note_level(len(self._connected), now)

    def note_settled(self, ticket: int, now: float) -> None:
        """Note that the request with ``ticket`` no longer awaits its first response."""
        super().note_settled(ticket, now)
        self._connected.discard(ticket)
        self.own.note_level(len(self._connected), now)

    def note_first_output(self, ticket: int, now: float) -> None:
        """Note the first output for the request with ``ticket``; for a stream it decides a trial."""
        if self.sent_at(ticket, now) >= self._own_trial_at:
            self._pass_trial()
        self.note_activity(now)
        self.note_settled(ticket, now)

    def note_success(self, now: float, sent_at: float | None = None) -> None:
        """Count a successful request that was sent at ``sent_at``."""
        began = now if sent_at is None else sent_at
        self._connect_failures = 0
        self.own.note_success(now - began)
        self._add(Outcomes(now, OWN, 1, 0))
        if began >= self._own_trial_at:
            self._pass_trial()
        if not self.half_open.ejected:
            self.half_open.note_healthy()

    def note_connect_failure(self, *, local: bool = False) -> None:
        """Count a failure to connect to the runner, unless a limit of this process is the cause."""
        if not local:
            self._connect_failures += 1
            self.own.note_connect_failure()

    def note_rejection(self, now: float, sent_at: float | None = None) -> bool:
        """Count a request that the runner rejected; returns whether the runner is ejected now.

        Peers learn the number of rejections, which is no evidence of a failure for them:
        a runner without a free slot rejects requests too.
        """
        self.own.note_rejection()
        self._add(Outcomes(now, OWN, 0, 1))
        if self.half_open.ejected:
            return self._fail_trial(now, now if sent_at is None else sent_at)
        return self._eject_if_failing(now)

    def note_failure(self, now: float, *, answered: bool = False, sent_at: float | None = None) -> bool:
        """Count a failed request; returns whether the runner is ejected now.

        A failure that the runner ``answered`` may be due to the request, so one
        instance alone needs more of them to eject the runner.
        """
        first = not self.own.counts.failures
        self.own.note_failure()
        self._add(Outcomes(now, OWN, 0, 1, int(answered)))
        if self.half_open.ejected:
            return self._fail_trial(now, now if sent_at is None else sent_at)
        if first:
            self._notify()
        return self._eject_if_failing(now)

    def note_health_call(self, now: float, *, healthy: bool) -> None:
        """Note what a call to the health page of the ejected runner showed."""
        if not self.half_open.ejected:
            return
        if healthy:
            self.half_open.open(now)
            self._announce(ProbeState.opened)
        else:
            _eject(self, now)
            self._announce(ProbeState.failed)

    def take_report(self, peer: str, report: RunnerReport, now: float, ttl_s: float) -> HealthChange:
        """Add what a peer reports; returns how that changes the state of the runner."""
        new = self.peers.take(peer, report, now, ttl_s)
        if new is None:
            return HealthChange.none
        if new.counts.successes or new.counts.failures:
            self._add(Outcomes(now, peer, new.counts.successes, new.counts.failures))
        if new.probe or self.evidence.reporters(now) >= MIN_REPORTERS:
            self.alone = False
        if not self.half_open.ejected:
            return HealthChange.ejected if self._eject_if_failing(now) else HealthChange.none
        return self._take_probe(new, now)

    def _take_probe(self, new: NewlyReported, now: float) -> HealthChange:
        if new.probe is ProbeState.passed:
            self._restore()
            return HealthChange.returned
        if new.probe is ProbeState.failed:
            _eject(self, now)
            return HealthChange.probe_failed
        if new.probe is ProbeState.opened:
            self.half_open.open(now)
        elif new.probe is ProbeState.sent:
            self.half_open.begin_trial(now)
        return HealthChange.none

    def _eject_if_failing(self, now: float) -> bool:
        if not self.evidence.failing(now, self.peers.unreported):
            return False
        _eject(self, now)
        self.alone = self.evidence.reporters(now) < MIN_REPORTERS
        self._own_trial_at = math.inf
        self._notify()
        return True

    def _fail_trial(self, now: float, sent_at: float) -> bool:
        if sent_at < self._own_trial_at:
            return False
        self._own_trial_at = math.inf
        _eject(self, now)
        self._announce(ProbeState.failed)
        return True

    def _pass_trial(self) -> None:
        self._restore()
        self._announce(ProbeState.passed)
        if self.on_returned is not None:
            self.on_returned()

    def _restore(self) -> None:
        self.half_open.restore()
        self.evidence.clear()
        self._own_trial_at = math.inf
        self.failures.clear()

    def _add(self, outcomes: Outcomes) -> None:
        self.evidence.add(outcomes)
        failures = outcomes.failures
        if outcomes.reporter != OWN:
            # Many failures of one peer may be due to its link.
            enough = self.evidence.reporters(outcomes.at) >= MIN_REPORTERS
            failures = min(failures, MAX_FAILURES_OF_REPORTER) if enough else 0
        self.failures.add(outcomes.at, outcomes.successes, failures)

    def _announce(self, probe: ProbeState) -> None:
        self.own.probe = probe
        self._notify()

    def _notify(self) -> None:
        if self.on_urgent is not None:
            self.on_urgent()


def _eject(health: RunnerHealth, now: float) -> None:
    """Take a runner out of use; what was reported of probes before is no longer about its state.

    A page that reports the runner healthy once more, in the window of the report before, else looked like that report
    again: no peer learnt of it, and only requests at the instance that had called it could be trials.
    """
    health.half_open.eject(now)
    health.own.forget_probe()
    health.peers.forget_opened()


__all__ = ('HealthChange', 'RunnerHealth')
