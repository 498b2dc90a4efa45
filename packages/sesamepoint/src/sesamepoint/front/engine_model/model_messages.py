"""Messages between instances on the speeds of engines."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sesamepoint_core.engine_model.engine_model import ModelReport
from sesamepoint_core.engine_model.estimates import MAX_LOG_RATIO, Estimate
from sesamepoint_core.serving.poison_requests import Incarnation

# Rows for each datagram, so that it fits into one packet.
MAX_ROWS = 20
MILLIS = 1000
MICROS = 1_000_000
MAX_MILLI_RATIO = int(MAX_LOG_RATIO * MILLIS)
MAX_WEIGHT = 100_000
MAX_PAUSE_US = 60 * MICROS
MAX_AGE_MS = 3_600_000
# Integers take 1 to 5 bytes in msgpack, floats always 9.
MilliRatio = Annotated[int, msgspec.Meta(ge=-MAX_MILLI_RATIO, le=MAX_MILLI_RATIO)]
Weight = Annotated[int, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
PauseUs = Annotated[int, msgspec.Meta(ge=0, le=MAX_PAUSE_US)]
AgeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]


class ModelRow(NamedTuple):
    """Estimates of the sender for one engine.

    Parameters
    ----------
    milli_log_ratio
        Log ratio of the engine's prefill time to that of the reference speed, in thousandths.
    prefill_weight, pause_weight
        Inverse variance of the log ratio; samples of the pause in units of the estimator.
    pause_us
        Undisturbed pause between two events, in microseconds.
    age_ms
        Time since the newest sample, in milliseconds.
    """

    start: Incarnation
    milli_log_ratio: MilliRatio
    prefill_weight: Weight
    pause_us: PauseUs
    pause_weight: Weight
    age_ms: AgeMs

    @classmethod
    def from_report(cls, incarnation: Incarnation, report: ModelReport, age_s: float) -> ModelRow:
        """Return the row for a report whose newest sample is ``age_s`` seconds old."""
        return cls(
            incarnation,
            round(report.prefill.mean * MILLIS),
            min(round(report.prefill.weight), MAX_WEIGHT),
            min(round(report.pause.mean * MICROS), MAX_PAUSE_US),
            min(round(report.pause.weight), MAX_WEIGHT),
            min(max(round(age_s * MILLIS), 0), MAX_AGE_MS),
        )

    @property
    def report(self) -> ModelReport:
        """Return the estimates."""
        prefill = Estimate(self.milli_log_ratio / MILLIS, self.prefill_weight)
        return ModelReport(prefill, Estimate(self.pause_us / MICROS, self.pause_weight))

    @property
    def age_s(self) -> float:
        """Return the age of the newest sample, in seconds."""
        return self.age_ms / MILLIS


class EngineModelMessage(msgspec.Struct, frozen=True, array_like=True, tag='model'):
    """Estimates of the sender that have changed, or all of them for a peer that has just registered."""

    entry: str
    rows: Annotated[tuple[ModelRow, ...], msgspec.Meta(max_length=MAX_ROWS)]


__all__ = ('MAX_ROWS', 'EngineModelMessage', 'ModelRow')
