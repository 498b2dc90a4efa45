"""Builders of reports on runners."""

from __future__ import annotations

from typing import Any

from sesamepoint_core.fleet_health.reports import ProbeState, RunnerReport
from sesamepoint_core.serving.poison_requests import Incarnation

TTL_S = 5.0


def report(window: int = 0, **changes: Any) -> RunnerReport:
    """Return a report on a runner without any outcomes, with ``changes``."""
    base = RunnerReport(Incarnation('i-1', 1), window, 0, 0, 0, 0, 0, 0, repeatable=False, probe=ProbeState.none)
    return base._replace(**changes)


__all__ = ('TTL_S', 'report')
