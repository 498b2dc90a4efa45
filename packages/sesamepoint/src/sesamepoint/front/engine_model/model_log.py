"""Log lines on the models of engines, bounded for each engine."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Container

    from sesamepoint_core.engine_model.engine_model import LastingModel, MergedReport
    from sesamepoint_core.engine_model.relative import Center
    from sesamepoint.front.runners.fleet_member import Member

# Least time between two lines on one engine, in seconds.
MIN_INTERVAL_S = 10.0
# A factor or a pause is logged if its logarithm has changed by more than this.
MIN_CHANGE = 0.1
MS_PER_S = 1000


class _Logged(NamedTuple):
    at: float
    lasting: LastingModel
    cut: frozenset[str]


class ModelLog:
    """Logs changes of the model in use, and reports of peers that are cut as outliers."""

    def __init__(self) -> None:
        """Start with nothing logged."""
        self._logged: dict[str, _Logged] = {}
        self._cut: dict[str, int] = {}

    def note(self, member: Member, merged: MergedReport, center: Center) -> None:
        """Log the model of ``member`` if it or the cut reports have changed."""
        key = member.runner.key
        self._cut[key] = len(merged.cut)
        now = trio.current_time()
        newest = _Logged(now, member.model.lasting, frozenset(merged.cut))
        known = self._logged.get(key)
        if not _worth_logging(known, newest):
            return
        self._logged[key] = newest
        events.log_event(
            events.ENGINE_MODEL_CHANGED,
            runner=key,
            born_ms=member.runner.born_ms,
            factor=round(newest.lasting.prefill_factor, 2),
            pause_ms=round(newest.lasting.pause_s * MS_PER_S, 1),
            log_ratio=round(merged.report.prefill.mean, 2),
            usual_log_ratio=round(center.log_ratio, 2),
            weight=round(merged.report.prefill.weight, 1),
            own_weight=round(member.model.own_report.prefill.weight, 1),
            cut=','.join(sorted(newest.cut)),
        )

    def keep_only(self, keys: Container[str]) -> None:
        """Forget the engines whose keys are not among ``keys``."""
        self._logged = {key: logged for key, logged in self._logged.items() if key in keys}
        self._cut = {key: count for key, count in self._cut.items() if key in keys}

    def count_cut(self) -> int:
        """Return how many reports of peers are cut now."""
        return sum(self._cut.values())


def _worth_logging(known: _Logged | None, newest: _Logged) -> bool:
    if known is None:
        return newest.lasting.prefill_factor != 1 or newest.lasting.pause_s > 0 or bool(newest.cut)
    if newest.at - known.at < MIN_INTERVAL_S:
        return False
    return (
        _changed(known.lasting.prefill_factor, newest.lasting.prefill_factor)
        or _changed(known.lasting.pause_s, newest.lasting.pause_s)
        or known.cut != newest.cut
    )


def _changed(known: float, newest: float) -> bool:
    if not known or not newest:
        return known != newest
    return abs(math.log(newest / known)) > MIN_CHANGE


__all__ = ('ModelLog',)
