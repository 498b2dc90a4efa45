"""Losses of worth and of callers' time through requests not answered on time."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.admit.request_size import request_size
from sesamepoint_core.units import MS_PER_S
from sesamectl.ended_requests import EndedRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

# A request's worth depends on its size relative to the mean of its route, as the
# callers' operators weigh it: a fixed share, the rest in proportion, up to a bound.
FIXED_WORTH_SHARE = 0.3
MAX_WORTH = 4.0
# Upper bounds of the bands of prompt sizes, in tokens.
SIZE_BANDS = ((1_000, 'under 1k'), (5_000, '1k to 5k'), (20_000, '5k to 20k'))
LARGEST_BAND = '20k and more'
NO_PROMPT_BAND = 'no prompt'
CALLER_LEFT_CAUSE = 'left by its caller'


class LostRequest(NamedTuple):
    """One request that was not answered on time.

    Parameters
    ----------
    cause
        Cause of the loss.
    worth
        Worth that was lost; an on-time answer of mean size is worth 1.
    time_s
        Time past the target of a late answer, or the whole time of a request
        without a whole answer.
    """

    ended: EndedRequest
    cause: str
    worth: float
    time_s: float


class LossGroup(NamedTuple):
    """Losses with the same name, added up.

    Parameters
    ----------
    requests, worth, time_s
        Totals of the losses.
    """

    name: tuple[str, ...]
    requests: int
    worth: float
    time_s: float


class Loss(NamedTuple):
    """All requests of some logs, and those of them that were not answered on time.

    The worths by route are those of all requests, as if all were on time.

    Parameters
    ----------
    start_s
        When the first of them ended.
    """

    ended: tuple[EndedRequest, ...]
    lost: tuple[LostRequest, ...]
    worth_by_route: dict[str, float]
    start_s: float

    def grouped_by(self, key_of: Callable[[LostRequest], tuple[str, ...]]) -> list[LossGroup]:
        """Return the losses grouped by a key, the largest worth first."""
        groups: dict[tuple[str, ...], list[LostRequest]] = defaultdict(list)
        for lost in self.lost:
            groups[key_of(lost)].append(lost)
        sums = [_group_loss(name, group) for name, group in groups.items()]
        return sorted(sums, key=_worth_key, reverse=True)


def find_loss(ended: Sequence[EndedRequest], late_share: float) -> Loss:
    """Return the losses; a late answer keeps ``late_share`` of its worth."""
    means = _mean_sizes(ended)
    worths: dict[str, float] = defaultdict(float)
    lost = []
    for request in ended:
        worth = _worth(request, means[request.route])
        worths[request.route] += worth
        if not request.on_time:
            lost.append(_lost_request(request, worth, late_share))
    start_s = min((end.ended_s for end in ended), default=0)
    return Loss(tuple(ended), tuple(lost), dict(worths), start_s)


def size_band(ended: EndedRequest) -> str:
    """Return the band of a request's prompt size."""
    if not ended.tokens:
        return NO_PROMPT_BAND
    return next((name for below, name in SIZE_BANDS if ended.tokens < below), LARGEST_BAND)


def late_cause(ended: EndedRequest) -> str:
    """Return what took most of the time of a late answer."""
    if ended.returned:
        return 'late: its caller had to come back'
    if ended.first_total_ms is None:
        return 'late: slow answer'
    if ended.first_total_ms <= ended.target_ms:
        return 'late: a pause in the answer'
    if ended.sends > 1:
        return 'late: sent more than once'
    at_engine_ms = ended.first_total_ms - ended.held_ms
    second_step_ms = 0 if ended.prefill_ms is None else at_engine_ms - ended.prefill_ms
    queue_ms = at_engine_ms - second_step_ms - ended.work_ms
    spans = {
        'late: waiting at the entry': ended.held_ms,
        'late: reading': ended.work_ms,
        'late: waiting at the engine': queue_ms,
        'late: memory moved, second engine': second_step_ms,
    }
    return max(spans, key=lambda name: spans[name])


def _lost_request(ended: EndedRequest, worth: float, late_share: float) -> LostRequest:
    took_s = ended.took_ms / MS_PER_S
    if ended.whole:
        over_s = max(took_s - ended.target_ms / MS_PER_S, 0)
        return LostRequest(ended, late_cause(ended), worth * (1 - late_share), over_s)
    cause = ended.cause.replace('_', ' ') or CALLER_LEFT_CAUSE
    if ended.need and ended.refused:
        cause = f'{cause}, short of {ended.need}'
    if ended.returned:
        cause = f'{cause}, second time'
    return LostRequest(ended, cause, worth, took_s)


def _worth(ended: EndedRequest, mean_size: float) -> float:
    if not mean_size:
        return 1
    return min(FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * _size(ended) / mean_size, MAX_WORTH)


def _size(ended: EndedRequest) -> float:
    return request_size(ended.tokens, ended.answer_tokens)


def _mean_sizes(ended: Iterable[EndedRequest]) -> dict[str, float]:
    sizes: dict[str, list[float]] = defaultdict(list)
    for request in ended:
        # The log has no size for a request that was never sent to an engine.
        sizes[request.route].extend([_size(request)] if request.tokens else [])
    return {route: sum(samples) / len(samples) if samples else 0 for route, samples in sizes.items()}


def _group_loss(group_name: tuple[str, ...], group: Sequence[LostRequest]) -> LossGroup:
    return LossGroup(group_name, len(group), sum(one.worth for one in group), sum(one.time_s for one in group))


def _worth_key(group: LossGroup) -> tuple[float, tuple[str, ...]]:
    return group.worth, group.name


__all__ = ('Loss', 'LossGroup', 'LostRequest', 'find_loss', 'late_cause', 'size_band')
