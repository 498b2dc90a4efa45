"""Samples of the speed of engines, from the requests of this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.engine_model.estimates import MIN_TIME_S, PrefillSample
from sesamepoint_core.serving.placement import DECODE_SLOWDOWN, DECODE_STEP_S
from sesamepoint_core.serving.runner import Stage
from sesamepoint_core.serving.speed_meters import PrefillSpeed

if TYPE_CHECKING:
    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint.front.engines.engine_plan import EnginePlan
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.runners.runner_selection import RunnerSelector

# Speed and prompt that prefill times are related to in messages between instances, as each
# instance has its own estimate of the speed of a service.
REFERENCE_SPEED = PrefillSpeed()
REFERENCE_TOKENS = 8000


class PrefillTimes(NamedTuple):
    """Times of a prefill that has just ended, on trio's clock.

    Parameters
    ----------
    sent_at
        When it was sent.
    begun_at
        When its engine began it, by the ends of earlier prefills; None if that is not known.
    """

    sent_at: float
    begun_at: float | None


class EngineSamples:
    """Passes the times of prefills and first events on to the estimators."""

    def __init__(self, selector: RunnerSelector) -> None:
        """Take the speeds of services from ``selector``."""
        self._selector = selector

    def observe_whole_run(self, plan: EnginePlan, prompt: Prompt, times: PrefillTimes) -> None:
        """Note the first event of a request that runs whole."""
        now = trio.current_time()
        plan.decode.model.transient.observe(now, plan.placement.first_s, now - times.sent_at)
        self._observe(plan, prompt, plan.decode, times)

    def observe_remote_prefill(self, plan: EnginePlan, prompt: Prompt, member: Member, times: PrefillTimes) -> None:
        """Note the end of a remote prefill.

        The speed of the service is learned from idle engines alone, and as if they were
        its median engine: otherwise it would depend on which engines were chosen.
        """
        now = trio.current_time()
        took_s = now - times.sent_at
        member.model.transient.observe(now, plan.placement.first_s - DECODE_STEP_S, took_s)
        self._observe(plan, prompt, member, times)
        if plan.view.wait_s == 0 and plan.view.fetch_tokens == 0:
            meter = self._selector.speed_meter(member.runner.service)
            overhead_s = min(meter.speed.overhead_s, took_s)
            usual_s = overhead_s + (took_s - overhead_s) / plan.view.prefill_factor
            meter.observe(plan.view.uncached_tokens, prompt.tokens, usual_s)

    def _observe(self, plan: EnginePlan, prompt: Prompt, member: Member, times: PrefillTimes) -> None:
        """Pass the time of the prefill alone on to the model of its engine, in terms of the reference speed.

        The shape of the expected time, by tokens and pairs of tokens, is that of the
        service's speed as estimated here; the reference sets its level.
        """
        if times.begun_at is None or plan.view.fetch_tokens:
            return
        now = trio.current_time()
        succeeded = times.begun_at > times.sent_at
        speed = plan.speeds.prefill_speed
        # The engine begins the next prefill before it has answered the last one, so the
        # time to answer is in the difference of two ends neither way.
        took_s = now - times.begun_at
        if not succeeded:
            took_s -= speed.overhead_s
        usual_s = speed.prefill_s(plan.view.uncached_tokens, prompt.tokens)
        whole = member.runner.stage is Stage.decode
        if whole:
            usual_s *= DECODE_SLOWDOWN
        sample = PrefillSample(usual_s * _reference_level(speed), took_s, succeeded, whole)
        member.model.observe_prefill(sample, now)


def _reference_level(speed: PrefillSpeed) -> float:
    """Return the ratio of prefill times at the reference speed to those at ``speed``."""
    reference_s = REFERENCE_SPEED.prefill_s(REFERENCE_TOKENS, REFERENCE_TOKENS)
    return reference_s / max(speed.prefill_s(REFERENCE_TOKENS, REFERENCE_TOKENS), MIN_TIME_S)


__all__ = ('EngineSamples', 'PrefillTimes')
