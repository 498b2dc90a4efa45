"""Placement of requests: which engine prefills, which one decodes, and at what cost."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.serving.runner import Stage
from sesamepoint_core.serving.speed_meters import PrefillSpeed

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

# A decode engine prefills at half the speed of a prefill engine (published by the
# engines' operator).
DECODE_SLOWDOWN = 2.0
# Seconds from the transfer of a prompt's KV cache to an idle decode engine to its first token.
DECODE_STEP_S = 0.025
# Seconds that fetching prefix blocks from another engine takes besides the transfer.
FETCH_OVERHEAD_S = 0.025
# A transfer between zones takes so many times as long as one within a zone, and its
# bytes are charged for (published by the engines' operator).
CROSS_ZONE_FACTOR = 2.0
# KV cache that is transferred to a decode engine evicts prefix blocks there. Each
# position in the order of decode engines costs this many seconds, so that requests
# with a remote prefill gather at the first engines and the others keep their blocks.
ORDER_S = 0.01
# Cost of a second of engine time for the requests queued after it, in seconds of waiting.
QUEUED_WEIGHT = 1.0
# Share of an engine's memory that running requests may occupy. Beyond it engines
# preempt requests and prefill them again, which costs more than waiting.
MEMORY_SHARE = 0.8
# Share of the spare time of a pause that prefill may fill without harm; the rest
# allows for errors of the estimates.
HARMLESS_SHARE = 0.8
# Cost of a missed deadline of the request to be placed, relative to that of a stream
# that it disturbs: long prompts are worth more than the short ones of most streams.
OWN_LATE_WEIGHT = 2.0
# Up to this share of the time left, a placement counts as on time. Beyond it, the
# probability that it misses the deadline rises linearly to 1.
ON_TIME_SHARE = 0.8
# Least spare time of a pause, as a share of the longest pause allowed.
MIN_FREE_SHARE = 0.2
# Prefill at a decode engine delays each answer there by its duration. The cost is a
# share of that time for each answer: small while slots are free, all of it when none
# is, since each answer then keeps others waiting for its slot. In between it grows as
# this power of the share of slots in use.
SLOWDOWN_SHARE = 0.05
SLOWDOWN_POWER = 4.0
# Cost of a failed remote prefill, as a share of the cost of a lost answer: the prompt
# is prefilled again, somewhat later.
PREFILL_LOSS_SHARE = 0.3
# Least cost of a prefill at an engine with a rate limit, relative to the time until the
# limit allows the next request: small prompts should leave its permits to large ones.
RATE_LIMIT_WEIGHT = 2.0
# Cost of an engine without free memory or slots, in seconds. It is high enough that such
# an engine is used only if all are like that.
CROWDED_COST_S = 2.0


class EngineView(NamedTuple):
    """State of one engine as known when a request is placed.

    Parameters
    ----------
    wait_s
        Seconds until a request that is sent now would begin.
    uncached_tokens
        Prompt tokens that it would have to prefill.
    fetch_tokens
        Prompt tokens that it would fetch from another engine.
    streams
        Answers in progress that can still meet their deadlines.
    recent_prefill_s
        Seconds of prefill work that were sent to it within the length of a pause.
    fill
        Share of its slots in use.
    crowded
        Whether it lacks memory or slots for one more request.
    pace
        Recent ratio of observed to expected times.
    order
        Its position in the order in which decode engines take requests with a remote prefill.
    zone
        Its availability zone.
    lost_share
        Recent share of lost answers, as observed by all instances.
    permit_interval_s
        For a prefill engine, seconds until its rate limit allows the next request; 0
        without a limit. A prompt costs at least this time.
    plain_pause_s
        Its own pause between two events while it prefills nothing, in seconds; 0 if it
        is that of its service.
    prefill_factor
        Lasting ratio of its prefill time to that of its service; ``pace`` includes it.
    """

    runner: str
    stage: Stage
    wait_s: float
    uncached_tokens: int
    fetch_tokens: int = 0
    streams: int = 0
    recent_prefill_s: float = 0
    fill: float = 0
    crowded: bool = False
    pace: float = 1.0
    order: int = 0
    zone: str = ''
    lost_share: float = 0
    permit_interval_s: float = 0
    plain_pause_s: float = 0
    prefill_factor: float = 1.0


class Placement(NamedTuple):
    """The runners that serve a request, with the estimated times and cost.

    Parameters
    ----------
    prefill
        Runner that prefills the prompt; empty if ``decode`` does that too.
    decode
        Runner that generates the answer.
    first_s
        Expected seconds to the first token.
    work_s
        Engine seconds of the prefill at the runner that does it.
    cost
        Seconds of waiting that placements are compared by.
    """

    prefill: str
    decode: str
    first_s: float
    work_s: float
    cost: float


class Speeds(NamedTuple):
    """Speeds of the engines of one service, and the costs that a placement is rated by.

    Parameters
    ----------
    prefill_speed
        Prefill speed of prefill engines.
    transfer_tokens_s
        Tokens a second that are transferred between engines of one zone.
    pause_s
        Longest pause between two events of a stream that is on time, in seconds.
    plain_pause_s
        Pause between two events at an engine that prefills nothing, in seconds.
    late_cost_s
        Cost of an answer that misses its deadline, in seconds of waiting.
    lost_cost_s
        Cost of a lost answer, in seconds of waiting.
    on_time_s
        Seconds left for the first token to be on time; 0 if that is impossible.
    fastest_prefill
        Prefill speed that the engines may have, as far as it was measured.
    prefill_price, decode_price
        Cost of a second of an engine of that stage for the requests that wait for
        one, in seconds of waiting. A second of a slow engine costs less, since less
        work of theirs is done in it.
    """

    prefill_speed: PrefillSpeed
    transfer_tokens_s: float
    pause_s: float = 0
    plain_pause_s: float = 0
    late_cost_s: float = 0
    lost_cost_s: float = 0
    on_time_s: float = 0
    fastest_prefill: PrefillSpeed = PrefillSpeed()
    prefill_price: float = QUEUED_WEIGHT
    decode_price: float = QUEUED_WEIGHT


def best_placement(views: Sequence[EngineView], speeds: Speeds, prompt_tokens: int) -> Placement | None:
    """Return the placement of least cost, or None if there is no decode engine."""
    return min(all_placements(views, speeds, prompt_tokens), key=_cost, default=None)


def slower_idle_placement(
    views: Sequence[EngineView], speeds: Speeds, prompt_tokens: int, busy: EngineView, max_wait_s: float
) -> Placement | None:
    """Return the placement of least cost that begins soon, at a slower engine, and is on time; None if there is none.

    A prompt with enough time left does not queue for a fast engine while a slow one is idle.

    Parameters
    ----------
    busy
        First engine of the placement of least cost of all.
    max_wait_s
        Longest wait of an engine that counts as idle, in seconds.
    """
    idle = {view.runner for view in views if view.prefill_factor > busy.prefill_factor and view.wait_s <= max_wait_s}
    if not idle:
        return None
    on_time_s = ON_TIME_SHARE * speeds.on_time_s
    placements = all_placements(views, speeds, prompt_tokens)
    fitting = (one for one in placements if (one.prefill or one.decode) in idle and one.first_s <= on_time_s)
    return min((one for one in fitting if bool(one.prefill) == (busy.stage is Stage.prefill)), key=_cost, default=None)


def all_placements(views: Sequence[EngineView], speeds: Speeds, prompt_tokens: int) -> Iterator[Placement]:
    """Yield a placement for each decode engine alone, and one for each prefill engine.

    The choice of the decode engine depends on the prefill engine only by the transfer
    between them, so the same decode engine is the best for all prefill engines of a zone.
    """
    decoders = [view for view in views if view.stage is Stage.decode]
    if not decoders:
        return
    best_decoders = _best_decoders(decoders, speeds)
    transfer_s = prompt_tokens / speeds.transfer_tokens_s
    decode_steps: dict[str, DecodeStep] = {}
    for view in views:
        if view.stage is Stage.prefill:
            if view.zone not in decode_steps:
                decode_steps[view.zone] = _cheapest_decode_step(best_decoders, view.zone, transfer_s)
            yield _split_placement(view, decode_steps[view.zone], speeds, prompt_tokens)
        elif view.stage is Stage.decode:
            yield _whole_placement(view, speeds, prompt_tokens)


class DecodeStep(NamedTuple):
    """The decode engine for a request with a remote prefill.

    Parameters
    ----------
    cost
        Cost of the decode there including the transfer, in seconds of waiting.
    runner
        Key of the engine.
    transfer_s
        Seconds that the transfer of the KV cache takes.
    """

    cost: float
    runner: str
    transfer_s: float


class _Decoder(NamedTuple):
    """A decode engine and its cost without the transfer, in seconds of waiting."""

    cost: float
    runner: str


def best_decode_step(decoders: Sequence[EngineView], speeds: Speeds, prefill_zone: str, tokens: int) -> DecodeStep:
    """Return the best decode engine for ``tokens`` of KV cache, by the zone of the prefill engine."""
    return _cheapest_decode_step(_best_decoders(decoders, speeds), prefill_zone, tokens / speeds.transfer_tokens_s)


def _whole_placement(view: EngineView, speeds: Speeds, prompt_tokens: int) -> Placement:
    work_s = DECODE_SLOWDOWN * view.pace * speeds.prefill_speed.prefill_s(view.uncached_tokens, prompt_tokens)
    first_s = speeds.prefill_speed.overhead_s + view.wait_s + work_s + _fetch_s(view, speeds)
    earlier_s = max(view.wait_s, view.recent_prefill_s)
    # The prefill lengthens the pauses of all streams at this engine, and prefill work
    # sent earlier lengthens those of this request.
    others_cost = view.streams * _late_pause_cost_s(view, work_s + earlier_s, speeds)
    others_cost += (SLOWDOWN_SHARE + view.fill**SLOWDOWN_POWER) * view.streams * work_s
    own_cost = _own_pause_cost_s(view, earlier_s, first_s, speeds)
    cost = first_s + speeds.decode_price * work_s / view.prefill_factor + _late_cost_s(first_s, speeds)
    cost += _crowding_s(view) + view.lost_share * speeds.lost_cost_s
    return Placement('', view.runner, first_s, work_s, cost + others_cost + own_cost)


def _split_placement(view: EngineView, decode_step: DecodeStep, speeds: Speeds, prompt_tokens: int) -> Placement:
    work_s = view.pace * speeds.prefill_speed.prefill_s(view.uncached_tokens, prompt_tokens)
    transfer_s = decode_step.transfer_s + _fetch_s(view, speeds)
    occupied_s = work_s / view.prefill_factor + transfer_s
    first_s = speeds.prefill_speed.overhead_s + view.wait_s + work_s + transfer_s + DECODE_STEP_S
    cost = (
        first_s + decode_step.cost + speeds.prefill_price * max(occupied_s, RATE_LIMIT_WEIGHT * view.permit_interval_s)
    )
    # If the prefill fails, another engine can do it.
    cost += PREFILL_LOSS_SHARE * view.lost_share * speeds.lost_cost_s
    return Placement(view.runner, decode_step.runner, first_s, work_s, cost + _late_cost_s(first_s, speeds))


def _fetch_s(view: EngineView, speeds: Speeds) -> float:
    return FETCH_OVERHEAD_S + view.fetch_tokens / speeds.transfer_tokens_s if view.fetch_tokens else 0


def _best_decoders(decoders: Sequence[EngineView], speeds: Speeds) -> dict[str, _Decoder]:
    """Return the best decode engine of each zone; its cost doesn't depend on the prefill engine.

    Computed once for all zones of prefill engines, a choice among 38 engines in six zones
    takes 331 us; computed for each zone it took 376 us (the best of six runs each).
    """
    best: dict[str, _Decoder] = {}
    for view in decoders:
        decoder = _Decoder(_decode_step_cost(view, speeds), view.runner)
        best[view.zone] = min(decoder, best.get(view.zone, decoder))
    return best


def _cheapest_decode_step(decoders: Mapping[str, _Decoder], prefill_zone: str, in_zone_s: float) -> DecodeStep:
    """Return the cheapest decode step for KV cache in ``prefill_zone``; transfers within a zone take ``in_zone_s``."""
    return min(
        _decode_step(decoder, in_zone_s if decode_zone == prefill_zone else CROSS_ZONE_FACTOR * in_zone_s)
        for decode_zone, decoder in decoders.items()
    )


def _decode_step(decoder: _Decoder, transfer_s: float) -> DecodeStep:
    return DecodeStep(decoder.cost + transfer_s, decoder.runner, transfer_s)


def _decode_step_cost(view: EngineView, speeds: Speeds) -> float:
    """Return the cost of decoding here after a remote prefill, without the transfer."""
    late_s = _late_pause_cost_s(view, max(view.wait_s, view.recent_prefill_s), speeds) + _slow_step_cost_s(view, speeds)
    risk_s = view.lost_share * speeds.lost_cost_s
    return view.wait_s + late_s + risk_s + _crowding_s(view) + ORDER_S * view.order


def _late_cost_s(first_s: float, speeds: Speeds) -> float:
    """Return the expected cost of a missed deadline if the first token comes after ``first_s``."""
    if speeds.on_time_s <= 0:
        return 0
    probability = (first_s / speeds.on_time_s - ON_TIME_SHARE) / (1 - ON_TIME_SHARE)
    return OWN_LATE_WEIGHT * speeds.late_cost_s * min(max(probability, 0), 1)


def _own_pause_cost_s(view: EngineView, prefill_s: float, first_s: float, speeds: Speeds) -> float:
    """Return the cost of pauses for the request itself: none if it misses its deadline anyway."""
    if first_s > speeds.on_time_s:
        return 0
    return _late_pause_cost_s(view, prefill_s, speeds) + _slow_step_cost_s(view, speeds)


def _late_pause_cost_s(view: EngineView, prefill_s: float, speeds: Speeds) -> float:
    """Return the expected cost for a stream of some seconds of prefill at the same engine.

    Between two tokens an engine prefills a chunk of a prompt. A prefill that fills
    the time by which a pause may exceed its usual length makes the stream late.
    """
    plain_pause_s = view.plain_pause_s or speeds.plain_pause_s
    free_s = max(speeds.pause_s - plain_pause_s, MIN_FREE_SHARE * speeds.pause_s)
    if free_s <= 0:
        return 0
    probability = (prefill_s / free_s - HARMLESS_SHARE) / (1 - HARMLESS_SHARE)
    return speeds.late_cost_s * min(max(probability, 0), 1)


def _slow_step_cost_s(view: EngineView, speeds: Speeds) -> float:
    """Return the expected cost of pauses that are too long at an engine whose own pause is long even undisturbed."""
    if not view.plain_pause_s or speeds.pause_s <= 0:
        return 0
    probability = (view.plain_pause_s / speeds.pause_s - HARMLESS_SHARE) / (1 - HARMLESS_SHARE)
    return speeds.late_cost_s * min(max(probability, 0), 1)


def _crowding_s(view: EngineView) -> float:
    return CROWDED_COST_S if view.crowded else 0


def _cost(placement: Placement) -> float:
    return placement.cost


__all__ = (
    'DECODE_STEP_S',
    'MEMORY_SHARE',
    'QUEUED_WEIGHT',
    'EngineView',
    'Placement',
    'Speeds',
    'all_placements',
    'best_decode_step',
    'best_placement',
    'slower_idle_placement',
)
