"""Measurements and causes of one request, for its log line and the metrics."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sesamepoint.front.requests.failure_cause import FailureCause

if TYPE_CHECKING:
    from sesamepoint_core.body_end.decision import BrokenOff, Complete
    from sesamepoint.front.requests.sent_runner import SentRunner


@dataclass
class RequestTrace:
    """Measurements and causes of one request, for its log line and the metrics.

    Parameters
    ----------
    first_output_at
        When the first part of the answer went to the caller, on trio's clock.
    sent_at
        When the request was last sent to a runner, on trio's clock.
    prefill_s
        Duration of the remote prefill, in seconds; None if there was none.
    queued_s
        Seconds that the request waited here for an engine.
    wait_expected_s
        Wait in seconds as estimated when the request came; None without an estimate.
    cause
        Why there was no complete answer.
    refused
        Whether the request was refused because engines are too busy.
    unsent_cause
        Why the request was not sent, as for a quarantine, back-off or rate limit.
    withheld_sends
        How often nothing was sent to a chosen runner because the send check failed.
    ineligible_runners
        Runners that were ineligible at a choice because of back-off or a rate limit.
    versions
        Software versions of the runners, in the order of the sends.
    last_runner
        Runner to which the request was last sent, a remote prefill included.
    decision
        The latest choice of a placement, with the figures that decided it.
    body_end
        How the body of the latest answer ended; None without one.
    answer_bytes
        Bytes of the body of the latest answer that were read.
    """

    first_output_at: float | None = None
    sent_at: float = 0
    longest_pause_s: float = 0
    prefill_s: float | None = None
    queued_s: float = 0
    wait_expected_s: float | None = None
    need: str = ''
    cause: FailureCause = FailureCause.none
    unsent_cause: FailureCause = FailureCause.none
    refused: bool = False
    withheld_sends: int = 0
    ineligible_runners: set[str] = field(default_factory=set)
    versions: list[str | None] = field(default_factory=list)
    last_runner: SentRunner | None = None
    decision: dict[str, object] = field(default_factory=dict)
    body_end: Complete | BrokenOff | None = None
    answer_bytes: int = 0


__all__ = ('RequestTrace',)
