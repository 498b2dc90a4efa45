"""The ways through a fleet of engines, their estimates, and the best one."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.serving.rate import ReadSpeed
from sesamepoint_core.serving.runner import Stage

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

# An engine that decodes reads prompts at half the rate of one that only
# prefills (published by the engines' operator).
DECODE_SLOWDOWN = 2.0
# Seconds from sending a prompt's memory to an idle engine to its first token.
SECOND_STEP_S = 0.025
# Seconds that taking parts of a prompt over from another engine adds besides
# the transfer.
FETCH_S = 0.025
# A transfer between zones takes so many times as long as within one, and the
# bytes of it are paid for (published by the engines' operator).
AWAY_FACTOR = 2.0
# Runs whose prompts were read elsewhere bring memory that pushes shared parts
# out of their decode runner. Each step in the order of decode runners costs
# this many seconds, so that such runs gather at the first ones, and the
# others keep what they have read.
ORDER_S = 0.01
# What a second of an engine's time costs the requests that will queue behind
# it, in seconds of waiting.
OTHERS_WEIGHT = 1.0
# An engine's memory that running requests may take. Beyond it engines put
# requests back and read their prompts again, which costs more than waiting.
MEMORY_SHARE = 0.8
# Share of the free time of a pause that reading may fill without harm; the
# rest allows for estimates that are off.
HARMLESS_SHARE = 0.8
# What being late costs a request whose way is chosen, against one stream that
# it disturbs: long prompts are worth more than the short ones that most
# streams have.
OWN_WEIGHT = 2.0
# From this share of the time to be on time, a path is taken for late with
# growing sureness.
SAFE_SHARE = 0.8
MIN_FREE_SHARE = 0.2
# Reading at a decode runner slows each answer there by the same time. What
# that costs, as a share of it for each answer: little while places are free,
# all of it when they are taken, since each answer then keeps others waiting
# for its place. Between, as this power of the share of places taken.
SLOWING_SHARE = 0.05
SLOWING_POWER = 4.0
# What it costs that reading a prompt apart fails, as a share of the cost of a
# lost answer: it is read again, somewhat later.
REREAD_SHARE = 0.3
# What a prompt costs that an engine with a limit reads, against the time until its limit
# allows the next one: small prompts should leave such places to large ones.
PLACE_WEIGHT = 2.0
# The cost of a place that is not free, in seconds: used only if all are so.
CROWDED_S = 2.0


class EngineView(NamedTuple):
    """What is known of one engine at the moment of choosing.

    Parameters
    ----------
    wait_s
        Until work that comes now would begin.
    fresh_tokens
        Prompt tokens that it would have to read.
    fetch_tokens
        Prompt tokens that it would take over from another engine.
    streams
        Answers that it generates and that a pause would make late.
    read_lately_s
        Reading that was sent to it within the length of a pause.
    fill
        Share of its places that are taken.
    crowded
        Whether it lacks memory or places for one more.
    pace
        Observed over expected times, lately.
    order
        Its place among decode runners in taking prompts read elsewhere.
    zone
        Its availability zone.
    lost_share
        Share of its answers that is lost, as all entries see it lately.
    place_s
        Seconds of an engine that only reads which one prompt takes at least: until its
        limit allows the next one; 0 without a limit.
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
    """A way to serve a request.

    Parameters
    ----------
    prefill
        Runner that reads the prompt; empty if ``decode`` does it.
    decode
        Runner that generates the answer.
    first_s
        Expected seconds to the first token.
    work_s
        Engine seconds it takes at the runner that reads the prompt.
    """

    prefill: str
    decode: str
    first_s: float
    work_s: float
    cost: float


class Speeds(NamedTuple):
    """Speeds of the engines of one service, as measured or published.

    Parameters
    ----------
    reading
        Of engines that only prefill.
    pause_s
        How long a stream may pause.
    plain_pause_s
        How long it pauses at an engine that reads nothing.
    late_cost_s
        What a late answer costs, in seconds of waiting.
    on_time_s
        Within this the first token must come; 0 if it is too late for that.
    lost_cost_s
        What a lost answer costs, in seconds of waiting.
    prefill_price, decode_price
        What a second of an engine of that stage costs those that wait for
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
    """Return the path of least cost, or None if no engine can decode."""
    return min(all_paths(views, speeds, prompt_tokens), key=_cost, default=None)


def all_paths(views: Sequence[EngineView], speeds: Speeds, prompt_tokens: int) -> Iterator[Path]:
    """Yield whole paths, and for each prefill runner its best second step.

    The second step of a path depends on the first only by the transfer, so
    one decode runner is the best for all prefill runners of a zone.
    """
    decoders = [view for view in views if view.stage is Stage.decode]
    if not decoders:
        return
    places = _places(decoders, speeds)
    near_s = prompt_tokens / speeds.transfer_tokens_s
    seconds: dict[str, SecondStep] = {}
    for view in views:
        if view.stage is Stage.prefill:
            if view.zone not in seconds:
                seconds[view.zone] = _nearest(places, view.zone, near_s)
            yield _two_step(view, seconds[view.zone], speeds, prompt_tokens)
        elif view.stage is Stage.decode:
            yield _whole(view, speeds, prompt_tokens)


class SecondStep(NamedTuple):
    """A place for a prompt that was read elsewhere.

    Parameters
    ----------
    transfer_s
        Seconds that its memory takes to get there.
    """

    cost: float
    runner: str
    transfer_s: float


class _Place(NamedTuple):
    cost: float
    runner: str


def best_second_step(decoders: Sequence[EngineView], speeds: Speeds, zone: str, tokens: int) -> SecondStep:
    """Return the best place for a prompt of ``tokens`` that was read in ``zone``."""
    return _nearest(_places(decoders, speeds), zone, tokens / speeds.transfer_tokens_s)


def _whole(view: EngineView, speeds: Speeds, prompt_tokens: int) -> Path:
    work_s = DECODE_SLOWDOWN * view.pace * speeds.reading.read_s(view.fresh_tokens, prompt_tokens)
    first_s = speeds.reading.overhead_s + view.wait_s + work_s + _fetch_s(view, speeds)
    reading_s = max(view.wait_s, view.read_lately_s)
    # Reading here stretches the pauses of all streams that run here, and what
    # was to be read before stretches those of this one.
    disturbed = view.streams * _late_pause_cost_s(work_s + reading_s, speeds)
    disturbed += (SLOWING_SHARE + view.fill**SLOWING_POWER) * view.streams * work_s
    own_pause = _own_pause_cost_s(reading_s, first_s, speeds)
    cost = first_s + speeds.decode_price * work_s + _late_cost_s(first_s, speeds)
    cost += _crowding_s(view) + view.lost_share * speeds.lost_cost_s
    return Path('', view.runner, first_s, work_s, cost + disturbed + own_pause)


def _two_step(view: EngineView, second: SecondStep, speeds: Speeds, prompt_tokens: int) -> Path:
    work_s = view.pace * speeds.reading.read_s(view.fresh_tokens, prompt_tokens)
    transfer_s = second.transfer_s + _fetch_s(view, speeds)
    first_s = speeds.reading.overhead_s + view.wait_s + work_s + transfer_s + SECOND_STEP_S
    cost = first_s + second.cost + speeds.prefill_price * max(work_s + transfer_s, PLACE_WEIGHT * view.place_s)
    # A prompt that was not read can be read elsewhere.
    cost += REREAD_SHARE * view.lost_share * speeds.lost_cost_s
    return Path(view.runner, second.runner, first_s, work_s, cost + _late_cost_s(first_s, speeds))


def _fetch_s(view: EngineView, speeds: Speeds) -> float:
    return FETCH_S + view.fetch_tokens / speeds.transfer_tokens_s if view.fetch_tokens else 0


def _places(decoders: Sequence[EngineView], speeds: Speeds) -> dict[str, _Place]:
    """Return the best place for a second step in each zone; what it costs does not depend on the first.

    Worked out anew for each zone of a reader, a choice among 38 engines in six
    zones took 376 us in place of 331 (the best of six runs each).
    """
    best: dict[str, _Place] = {}
    for view in decoders:
        place = _Place(_second_step_cost(view, speeds), view.runner)
        best[view.zone] = min(place, best.get(view.zone, place))
    return best


def _nearest(places: Mapping[str, _Place], zone: str, near_s: float) -> SecondStep:
    """Return the best of ``places`` for memory in ``zone`` that takes ``near_s`` within it."""
    return min(
        _step_to(place, near_s if place_zone == zone else AWAY_FACTOR * near_s) for place_zone, place in places.items()
    )


def _step_to(place: _Place, transfer_s: float) -> SecondStep:
    return SecondStep(place.cost + transfer_s, place.runner, transfer_s)


def _second_step_cost(view: EngineView, speeds: Speeds) -> float:
    """Return what a run whose prompt was read elsewhere suffers here, but for the transfer."""
    late_s = _late_pause_cost_s(max(view.wait_s, view.read_lately_s), speeds)
    risk_s = view.lost_share * speeds.lost_cost_s
    return view.wait_s + late_s + risk_s + _crowding_s(view) + ORDER_S * view.order


def _late_cost_s(first_s: float, speeds: Speeds) -> float:
    """Return what a first token after ``first_s`` costs by being late."""
    if speeds.on_time_s <= 0:
        return 0
    sure = (first_s / speeds.on_time_s - SAFE_SHARE) / (1 - SAFE_SHARE)
    return OWN_WEIGHT * speeds.late_cost_s * min(max(sure, 0), 1)


def _own_pause_cost_s(reading_s: float, first_s: float, speeds: Speeds) -> float:
    """Return what pauses cost a request itself: nothing if it is late anyway."""
    return 0 if first_s > speeds.on_time_s else _late_pause_cost_s(reading_s, speeds)


def _late_pause_cost_s(read_s: float, speeds: Speeds) -> float:
    """Return what ``read_s`` of reading costs a stream at the same engine.

    Between two tokens an engine reads a piece of a prompt. A read that fills
    the time which a pause may take beyond its plain length makes it late.
    """
    free_s = max(speeds.pause_s - speeds.plain_pause_s, MIN_FREE_SHARE * speeds.pause_s)
    if free_s <= 0:
        return 0
    sure = (read_s / free_s - HARMLESS_SHARE) / (1 - HARMLESS_SHARE)
    return speeds.late_cost_s * min(max(sure, 0), 1)


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
