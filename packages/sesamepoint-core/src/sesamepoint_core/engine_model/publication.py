"""Which estimates have changed so much that peers should know, and which peer has which."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_core.engine_model.engine_model import ModelReport
    from sesamepoint_core.serving.poison_requests import Incarnation

# A row is sent again if its log ratio, or that of its pause, has changed by this much, or
# its weight by this factor.
MIN_CHANGE = 0.05
WEIGHT_FACTOR = 2.0
# A row with new samples is sent again after this many seconds, well before reports expire.
REFRESH_S = 40.0


class _Published(NamedTuple):
    report: ModelReport
    changed_at: float


class Publication:
    """Versions of the rows of this instance, and until when each peer has them."""

    def __init__(self) -> None:
        """Start with nothing published."""
        self._rows: dict[Incarnation, _Published] = {}
        self._sent_at: dict[str, float] = {}

    def update(self, incarnation: Incarnation, report: ModelReport, now: float) -> None:
        """Note the newest estimates of an engine that has new samples."""
        known = self._rows.get(incarnation)
        if known is None or _differs(known.report, report) or now - known.changed_at >= REFRESH_S:
            self._rows[incarnation] = _Published(report, now)

    def keep_only(self, incarnations: Iterable[Incarnation], peers: Iterable[str]) -> None:
        """Forget the engines and peers that are not among the given ones."""
        known = frozenset(incarnations)
        self._rows = {one: row for one, row in self._rows.items() if one in known}
        names = frozenset(peers)
        self._sent_at = {peer: at for peer, at in self._sent_at.items() if peer in names}

    def note_joined(self, peer: str) -> None:
        """Note that a peer has just registered and knows nothing."""
        self._sent_at.pop(peer, None)

    def due_rows(self, peer: str) -> list[Incarnation]:
        """Return the engines whose rows have changed since they were last sent to ``peer``."""
        sent_at = self._sent_at.get(peer, -math.inf)
        return [incarnation for incarnation, row in self._rows.items() if row.changed_at > sent_at]

    def note_sent(self, peer: str, now: float) -> None:
        """Note that all rows that were due at ``peer`` have been sent."""
        self._sent_at[peer] = now

    def report_of(self, incarnation: Incarnation) -> ModelReport:
        """Return the published estimates of an engine."""
        return self._rows[incarnation].report


def _differs(known: ModelReport, newest: ModelReport) -> bool:
    if abs(newest.prefill.mean - known.prefill.mean) > MIN_CHANGE:
        return True
    if abs(newest.pause.mean - known.pause.mean) > MIN_CHANGE * known.pause.mean:
        return True
    return (
        newest.prefill.weight > WEIGHT_FACTOR * known.prefill.weight
        or newest.pause.weight > WEIGHT_FACTOR * known.pause.weight
    )


__all__ = ('Publication',)
