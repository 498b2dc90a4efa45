"""Merge of the estimates of several instances, robust to single false ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.engine_model.estimates import Estimate

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Largest weight of one instance's report, that of some ten clean samples. A reporter can't
# gain influence by a claim of more.
MAX_REPORT_WEIGHT = 50.0
# Own samples count this many times in the median that outliers are measured from, so that
# one false report does not outweigh as many own samples.
OWN_MEDIAN_FACTOR = 2.0
# Values farther from the median than this share are cut; estimates of the same engine by
# two instances differ by less.
MAX_DEVIATION = 0.35


class Merged(NamedTuple):
    """Merged estimate and the senders whose reports were cut as outliers."""

    estimate: Estimate
    cut: tuple[str, ...] = ()


def merge(own: Estimate, reports: Mapping[str, Estimate], *, relative: bool = False) -> Merged:
    """Return the weighted mean of the own estimate and the reports that agree with their median.

    Parameters
    ----------
    reports
        Estimates by the name of the reporting instance.
    relative
        Whether the allowed deviation is a share of the median; otherwise it is absolute, for logarithms.
    """
    bounded = {sender: _bounded(report) for sender, report in reports.items() if report.weight > 0}
    own = _bounded(own)
    center = weighted_median([own._replace(weight=OWN_MEDIAN_FACTOR * own.weight), *bounded.values()])
    allowed = MAX_DEVIATION * center if relative else MAX_DEVIATION
    cut = tuple(sender for sender, report in bounded.items() if abs(report.mean - center) > allowed)
    kept = [report for report in (own, *bounded.values()) if abs(report.mean - center) <= allowed]
    return Merged(_weighted_mean(kept), cut)


def weighted_median(estimates: Sequence[Estimate]) -> float:
    """Return the value with half of the weight below it, or the mean of two such values; 0 without any weight."""
    ordered = sorted(one for one in estimates if one.weight > 0)
    half = sum(one.weight for one in ordered) / 2
    below: float = 0
    for index, one in enumerate(ordered):
        below += one.weight
        if below > half:
            return one.mean
        if below == half:
            return (one.mean + ordered[index + 1].mean) / 2
    return 0


def _bounded(report: Estimate) -> Estimate:
    if report.weight <= MAX_REPORT_WEIGHT:
        return report
    return Estimate(report.mean, MAX_REPORT_WEIGHT)


def _weighted_mean(estimates: Sequence[Estimate]) -> Estimate:
    weight = sum(one.weight for one in estimates)
    if not weight:
        return Estimate()
    return Estimate(sum(one.mean * one.weight for one in estimates) / weight, weight)


__all__ = ('MAX_REPORT_WEIGHT', 'Merged', 'merge', 'weighted_median')
