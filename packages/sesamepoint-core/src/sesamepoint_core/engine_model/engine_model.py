"""Model of one incarnation of an engine: lasting speed and pause, and a factor for what passes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.engine_model.estimates import Estimate, PauseEstimator, PrefillSample, PrefillTimeEstimator
from sesamepoint_core.engine_model.merging import merge
from sesamepoint_core.route.time_correction import TimeCorrection

if TYPE_CHECKING:
    from collections.abc import Mapping

# Reports of this many instances are kept for each engine. At the design size an engine is
# used by 14 instances.
MAX_REPORTERS = 32
# A report expires after this many seconds. Lasting speeds change with the incarnation; an
# instance that has left should not count for ever.
REPORT_TTL_S = 120.0
# Estimates that differ by less than this log ratio, and weights by less than this share,
# are not merged again, nor any before this many seconds, which bounds the processor time of merges.
MIN_CHANGE = 0.02
MIN_WEIGHT_CHANGE = 0.2
MAX_MERGE_AGE_S = 10.0
# A slow engine may be silent for longer, up to this many times as long.
MAX_SLOWNESS = 3.0


class ModelReport(NamedTuple):
    """Estimates of one instance for one engine.

    Parameters
    ----------
    prefill
        Log ratio of its prefill time to that of the reference speed.
    pause
        Its undisturbed pause between two events, in seconds.
    """

    prefill: Estimate = Estimate()
    pause: Estimate = Estimate()

    def resembles(self, other: ModelReport) -> bool:
        """Tell whether both are so alike that decisions would hardly differ."""
        return (
            abs(self.prefill.mean - other.prefill.mean) < MIN_CHANGE
            and abs(self.pause.mean - other.pause.mean) <= MIN_CHANGE * other.pause.mean
            and _similar(self.prefill.weight, other.prefill.weight)
            and _similar(self.pause.weight, other.pause.weight)
        )


class MergedReport(NamedTuple):
    """Estimates of all instances together, and the senders whose reports were cut as outliers."""

    report: ModelReport
    cut: tuple[str, ...] = ()


class LastingModel(NamedTuple):
    """What lasts, as used in decisions.

    Parameters
    ----------
    prefill_factor
        Ratio of its prefill time to that of its service; 1 if it does not differ for sure.
    pause_s
        Its own undisturbed pause, in seconds; 0 if it is that of its service.
    slowness
        Ratio of its times to those of its service for the silence limits; at least 1.
    """

    prefill_factor: float = 1.0
    pause_s: float = 0
    slowness: float = 1.0


class _Received(NamedTuple):
    sampled_at: float
    report: ModelReport


class EngineModel:
    """Own estimates of an engine, the reports of peers, and what is used of both."""

    def __init__(self) -> None:
        """Start as an engine like the others of its service."""
        self._prefill_time = PrefillTimeEstimator()
        self._pause = PauseEstimator()
        # Whether there are samples that were not reported to peers yet, and the time of the newest one.
        self.new_samples = False
        self.sampled_at: float = 0
        self.transient = TimeCorrection()
        self.lasting = LastingModel()
        self._received: dict[str, _Received] = {}
        self._merged_own = ModelReport()
        self._merged = MergedReport(ModelReport())
        # When to merge again whatever the own estimates; set back by each report.
        self._merge_at: float = -math.inf

    def factor(self, now: float) -> float:
        """Return the factor on expected prefill times: the lasting one times the passing one."""
        return self.lasting.prefill_factor * self.transient.factor(now)

    def observe_prefill(self, sample: PrefillSample, now: float) -> None:
        """Update the lasting estimates by one prefill."""
        if self._prefill_time.observe(sample):
            self._note_sample(now)

    def observe_pause(self, pause_s: float, now: float) -> None:
        """Update the lasting estimates by one pause between two events."""
        self._pause.observe(pause_s)
        self._note_sample(now)

    @property
    def own_report(self) -> ModelReport:
        """Return the estimates from samples of this instance alone."""
        return ModelReport(self._prefill_time.estimate, self._pause.estimate)

    def take_report(self, sender: str, report: ModelReport, sampled_at: float) -> None:
        """Replace the report of a peer, unless a newer one is known."""
        known = self._received.pop(sender, None)
        if known is not None and known.sampled_at > sampled_at:
            self._received[sender] = known
            return
        self._received[sender] = _Received(sampled_at, report)
        self._merge_at = -math.inf
        drop_oldest(self._received, MAX_REPORTERS)

    def valid_reports(self, now: float) -> Mapping[str, ModelReport]:
        """Return the reports of peers that have not expired, by sender; drops the others."""
        self._received = {
            sender: received for sender, received in self._received.items() if now - received.sampled_at <= REPORT_TTL_S
        }
        return {name: received.report for name, received in self._received.items()}

    def merged(self, now: float) -> MergedReport:
        """Return the merged estimates of all instances, merged again only where that may make a difference."""
        own = self.own_report
        if now >= self._merge_at or not own.resembles(self._merged_own):
            self._merged_own = own
            self._merged = self._merge(own, self.valid_reports(now))
            self._merge_at = now + MAX_MERGE_AGE_S
        return self._merged

    def _merge(self, own: ModelReport, reports: Mapping[str, ModelReport]) -> MergedReport:
        prefill = merge(own.prefill, {sender: one.prefill for sender, one in reports.items()})
        pause = merge(own.pause, {sender: one.pause for sender, one in reports.items()}, relative=True)
        return MergedReport(ModelReport(prefill.estimate, pause.estimate), (*prefill.cut, *pause.cut))

    def _note_sample(self, now: float) -> None:
        self.new_samples = True
        self.sampled_at = now


def _similar(weight: float, other: float) -> bool:
    return abs(weight - other) <= MIN_WEIGHT_CHANGE * other


def slowness(prefill_factor: float, pause_ratio: float) -> float:
    """Return by how much to lengthen silence limits for an engine with these ratios to its service."""
    return min(max(prefill_factor, pause_ratio, 1), MAX_SLOWNESS)


__all__ = ('EngineModel', 'LastingModel', 'MergedReport', 'ModelReport', 'slowness')
