"""Placement of requests: which engine prefills, which one decodes, and at what cost."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.serving.rate import ReadSpeed
from sesamepoint_core.serving.runner import Stage

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

# A decode engine prefills at half the speed of a prefill engine (published by the
# engines' operator).
DECODE_SLOWDOWN = 2.0
# Seconds from the transfer of a prompt's KV cache to an idle decode engine to its first token.
SECOND_STEP_S = 0.025
# Seconds that fetching prefix blocks from another engine takes besides the transfer.
FETCH_S = 0.025
# A transfer between zones takes so many times as long as one within a zone, and its
# bytes are charged for (published by the engines' operator).
AWAY_FACTOR = 2.0
# KV cache that is transferred to a decode engine evicts prefix blocks there. Each
# position in the order of decode engines costs this many seconds, so that requests
# with a remote prefill gather at the first engines and the others keep their blocks.
ORDER_S = 0.01
# Cost of a second of engine time for the requests queued after it, in seconds of waiting.
OTHERS_WEIGHT = 1.0
# Share of an engine's memory that running requests may occupy. Beyond it engines
# preempt requests and prefill them again, which costs more than waiting.
MEMORY_SHARE = 0.8
# Share of the spare time of a pause that prefill may fill without harm; the rest
# allows for errors of the estimates.
HARMLESS_SHARE = 0.8
# Cost of a missed deadline of the request to be placed, relative to that of a stream
# that it disturbs: long prompts are worth more than the short ones of most streams.
OWN_WEIGHT = 2.0
# Up to this share of the time left, a placement counts as on time. Beyond it, the
# probability that it misses the deadline rises linearly to 1.
SAFE_SHARE = 0.8
# Least spare time of a pause, as a share of the longest pause allowed.
MIN_FREE_SHARE = 0.2
# Prefill at a decode engine delays each answer there by its duration. The cost is a
# share of that time for each answer: small while slots are free, all of it when none
# is, since each answer then keeps others waiting for its slot. In between it grows as
# this power of the share of slots in use.
SLOWING_SHARE = 0.05
SLOWING_POWER = 4.0
# Cost of a failed remote prefill, as a share of the cost of a lost answer: the prompt
# is prefilled again, somewhat later.
REREAD_SHARE = 0.3
# Least cost of a prefill at an engine with a rate limit, relative to the time until the
# limit allows the next request: small prompts should leave its permits to large ones.
PLACE_WEIGHT = 2.0
# Cost of an engine without free memory or slots, in seconds. It is high enough that such
# an engine is used only if all are like that.
CROWDED_S = 2.0


class EngineView(NamedTuple):
    """State of one engine as known when a request is placed.

    Parameters
    ----------
    wait_s
        Seconds until a request that is sent now would begin.
    fresh_tokens
        Prompt tokens that it would have to prefill.
    fetch_tokens
        Prompt tokens that it would fetch from another engine.
    streams
        Answers in progress that can still meet their deadlines.
    read_lately_s
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
    place_s
        For a prefill engine, seconds until its rate limit allows the next request; 0
        without a limit. A prompt costs at least this time.
    """

    runner: str
    stage: Stage
    wait_s: float
    fresh_tokens: int
    fetch_tokens: int = 0
    streams: int = 0
    read_lately_s: float = 0
    fill: float = 0
    crowded: bool = False
    pace: float = 1.0
    order: int = 0
    zone: str = ''
    lost_share: float = 0
    place_s: float = 0


class Path(NamedTuple):
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
    reading
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
    prefill_price, decode_price
        Cost of a second of an engine of that stage for the requests that wait for
        one, in seconds of waiting.
    """

    reading: ReadSpeed
    transfer_tokens_s: float
    pause_s: float = 0
    plain_pause_s: float = 0
    late_cost_s: float = 0
    lost_cost_s: float = 0
    on_time_s: float = 0
    prefill_price: float = OTHERS_WEIGHT
    decode_price: float = OTHERS_WEIGHT


def best_path(views: Sequence[EngineView], speeds: Speeds, prompt_tokens: int) -> Path | None:
    """Return the placement of least cost, or None if there is no decode engine."""
    return min(all_paths(views, speeds, prompt_tokens), key=_cost, default=None)


def all_paths(views: Sequence[EngineView], speeds: Speeds, prompt_tokens: int) -> Iterator[Path]:
    """Yield a placement for each decode engine alone, and one for each prefill engine.

    The choice of the decode engine depends on the prefill engine only by the transfer
    between them, so the same decode engine is the best for all prefill engines of a zone.
    """
    decoders = [view for view in views if view.stage is Stage.decode]
    if not decoders:
        return
    best_decoders = _places(decoders, speeds)
    transfer_s = prompt_tokens / speeds.transfer_tokens_s
    decode_steps: dict[str, SecondStep] = {}
    for view in views:
        if view.stage is Stage.prefill:
            if view.zone not in decode_steps:
                decode_steps[view.zone] = _nearest(best_decoders, view.zone, transfer_s)
            yield _two_step(view, decode_steps[view.zone], speeds, prompt_tokens)
        elif view.stage is Stage.decode:
            yield _whole(view, speeds, prompt_tokens)


class SecondStep(NamedTuple):
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


class _Place(NamedTuple):
    """A decode engine and its cost without the transfer, in seconds of waiting."""

    cost: float
    runner: str


def best_second_step(decoders: Sequence[EngineView], speeds: Speeds, zone: str, tokens: int) -> SecondStep:
    """Return the best decode engine for ``tokens`` of KV cache, by the zone of the prefill engine."""
    return _nearest(_places(decoders, speeds), zone, tokens / speeds.transfer_tokens_s)


def _whole(view: EngineView, speeds: Speeds, prompt_tokens: int) -> Path:
    work_s = DECODE_SLOWDOWN * view.pace * speeds.reading.read_s(view.fresh_tokens, prompt_tokens)
    first_s = speeds.reading.overhead_s + view.wait_s + work_s + _fetch_s(view, speeds)
    earlier_s = max(view.wait_s, view.read_lately_s)
    # The prefill lengthens the pauses of all streams at this engine, and prefill work
    # sent earlier lengthens those of this request.
    others_cost = view.streams * _late_pause_cost_s(work_s + earlier_s, speeds)
    others_cost += (SLOWING_SHARE + view.fill**SLOWING_POWER) * view.streams * work_s
    own_cost = _own_pause_cost_s(earlier_s, first_s, speeds)
    cost = first_s + speeds.decode_price * work_s + _late_cost_s(first_s, speeds)
    cost += _crowding_s(view) + view.lost_share * speeds.lost_cost_s
    return Path('', view.runner, first_s, work_s, cost + others_cost + own_cost)


def _two_step(view: EngineView, second: SecondStep, speeds: Speeds, prompt_tokens: int) -> Path:
    work_s = view.pace * speeds.reading.read_s(view.fresh_tokens, prompt_tokens)
    transfer_s = second.transfer_s + _fetch_s(view, speeds)
    first_s = speeds.reading.overhead_s + view.wait_s + work_s + transfer_s + SECOND_STEP_S
    cost = first_s + second.cost + speeds.prefill_price * max(work_s + transfer_s, PLACE_WEIGHT * view.place_s)
    # If the prefill fails, another engine can do it.
    cost += REREAD_SHARE * view.lost_share * speeds.lost_cost_s
    return Path(view.runner, second.runner, first_s, work_s, cost + _late_cost_s(first_s, speeds))


def _fetch_s(view: EngineView, speeds: Speeds) -> float:
    return FETCH_S + view.fetch_tokens / speeds.transfer_tokens_s if view.fetch_tokens else 0


def _places(decoders: Sequence[EngineView], speeds: Speeds) -> dict[str, _Place]:
    """Return the best decode engine of each zone; its cost doesn't depend on the prefill engine.

    Computed once for all zones of prefill engines, a choice among 38 engines in six zones
    takes 331 us; computed for each zone it took 376 us (the best of six runs each).
    """
    best: dict[str, _Place] = {}
    for view in decoders:
        decoder = _Place(_second_step_cost(view, speeds), view.runner)
        best[view.zone] = min(decoder, best.get(view.zone, decoder))
    return best


def _nearest(places: Mapping[str, _Place], zone: str, near_s: float) -> SecondStep:
    """Return the cheapest decode step for KV cache in ``zone``, with its transfer time within the zone given."""
    return min(
        _step_to(decoder, near_s if decode_zone == zone else AWAY_FACTOR * near_s)
        for decode_zone, decoder in places.items()
    )


def _step_to(place: _Place, transfer_s: float) -> SecondStep:
    return SecondStep(place.cost + transfer_s, place.runner, transfer_s)


def _second_step_cost(view: EngineView, speeds: Speeds) -> float:
    """Return the cost of decoding here after a remote prefill, without the transfer."""
    late_s = _late_pause_cost_s(max(view.wait_s, view.read_lately_s), speeds)
    risk_s = view.lost_share * speeds.lost_cost_s
    return view.wait_s + late_s + risk_s + _crowding_s(view) + ORDER_S * view.order


def _late_cost_s(first_s: float, speeds: Speeds) -> float:
    """Return the expected cost of a missed deadline if the first token comes after ``first_s``."""
    if speeds.on_time_s <= 0:
        return 0
    probability = (first_s / speeds.on_time_s - SAFE_SHARE) / (1 - SAFE_SHARE)
    return OWN_WEIGHT * speeds.late_cost_s * min(max(probability, 0), 1)


def _own_pause_cost_s(reading_s: float, first_s: float, speeds: Speeds) -> float:
    """Return the cost of pauses for the request itself: none if it misses its deadline anyway."""
    return 0 if first_s > speeds.on_time_s else _late_pause_cost_s(reading_s, speeds)


def _late_pause_cost_s(read_s: float, speeds: Speeds) -> float:
    """Return the expected cost for a stream of some seconds of prefill at the same engine.

    Between two tokens an engine prefills a chunk of a prompt. A prefill that fills
    the time by which a pause may exceed its usual length makes the stream late.
    """
    free_s = max(speeds.pause_s - speeds.plain_pause_s, MIN_FREE_SHARE * speeds.pause_s)
    if free_s <= 0:
        return 0
    probability = (read_s / free_s - HARMLESS_SHARE) / (1 - HARMLESS_SHARE)
    return speeds.late_cost_s * min(max(probability, 0), 1)


def _crowding_s(view: EngineView) -> float:
    return CROWDED_S if view.crowded else 0


def _cost(path: Path) -> float:
    return path.cost


__all__ = (
    'MEMORY_SHARE',
    'OTHERS_WEIGHT',
    'SECOND_STEP_S',
    'EngineView',
    'Path',
    'Speeds',
    'all_paths',
    'best_path',
    'best_second_step',
)
