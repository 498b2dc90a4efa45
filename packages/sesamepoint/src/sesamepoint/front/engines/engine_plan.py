"""Plan for one prompt: its placement on engines, from the state of each as known here."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.serving.placement import (
    MEMORY_SHARE,
    EngineView,
    Placement,
    Speeds,
    best_placement,
    slower_idle_placement,
)
from sesamepoint_core.serving.runner import Stage
from sesamepoint.front.engines.queue_triage import MAX_ENGINE_BACKLOG_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint.front.runners.fleet_member import Member

# Fewer tokens than this are prefilled faster than fetched: a fetch takes 25 ms, in
# which current engines prefill 900 tokens and more.
MIN_FETCH_TOKENS = 1000


class EnginePlan(NamedTuple):
    """A placement and its engines.

    The first engine is the prefill engine, or the decode engine if the request
    runs whole.

    Parameters
    ----------
    prefill
        Engine for a remote prefill; None if the request runs whole at ``decode``.
    view
        Estimates for the first engine.
    rank
        Rank of the request in the queue of an engine.
    admitted
        Whether the rate limit of the first engine has a permit now.
    """

    placement: Placement
    prefill: Member | None
    decode: Member
    # Engine from which the first engine can fetch prefix blocks that it lacks.
    prefix_source: Member | None
    view: EngineView
    rank: int
    # Whether the decode engine has no free slot or memory.
    decode_full: bool
    speeds: Speeds
    admitted: bool = True

    @property
    def fetch_from(self) -> str:
        """Return the address from which the first engine fetches prefix blocks; empty if it fetches none."""
        return str(self.prefix_source.runner.address) if self.prefix_source and self.view.fetch_tokens else ''


class Candidate(NamedTuple):
    """A runner and the waits that its rate limit imposes on one request.

    Parameters
    ----------
    permit_wait_s
        Seconds until the rate limit admits the request.
    """

    member: Member
    permit_wait_s: float
    # Seconds from one permit of the rate limit to the next.
    permit_interval_s: float


def plan_for(prompt: Prompt, candidates: Sequence[Candidate], speeds: Speeds, rank: int) -> EnginePlan | None:
    """Return the plan of least cost for ``prompt`` at ``rank``; None if no engine can run it."""
    members = [one.member for one in candidates]
    prefix_source = _best_prefix_source(prompt, members)
    views = EngineViews(prompt, candidates, prefix_source, speeds.pause_s).all()
    placement = best_placement(tuple(views.values()), speeds, prompt.tokens)
    if placement is None:
        return None
    best = views[placement.prefill or placement.decode]
    if best.wait_s > MAX_ENGINE_BACKLOG_S:
        idle = slower_idle_placement(tuple(views.values()), speeds, prompt.tokens, best, MAX_ENGINE_BACKLOG_S)
        placement = idle or placement
    by_key = {one.member.runner.key: one for one in candidates}
    first = by_key[placement.prefill or placement.decode]
    return EnginePlan(
        placement=placement,
        prefill=first.member if placement.prefill else None,
        decode=by_key[placement.decode].member,
        prefix_source=prefix_source,
        view=views[first.member.runner.key],
        rank=rank,
        decode_full=views[placement.decode].crowded,
        speeds=speeds,
        admitted=not first.permit_wait_s,
    )


class EngineViews:
    """Estimates of all engines for one prompt."""

    def __init__(
        self, prompt: Prompt, candidates: Sequence[Candidate], prefix_source: Member | None, pause_s: float
    ) -> None:
        """Prepare the estimates of the given engines for ``prompt``.

        Parameters
        ----------
        pause_s
            Longest pause between two events of a stream that is on time, in seconds.
        """
        self._prompt = prompt
        self._candidates = candidates
        self._pause_s = pause_s
        self._now = trio.current_time()
        self._fetchable_tokens = prefix_source.cache.fetchable_tokens(prompt.parts) if prefix_source else 0
        self._fill_order = _fill_order([one.member for one in candidates])

    def all(self) -> dict[str, EngineView]:
        """Return the estimates by runner key."""
        return {one.member.runner.key: self._view(one) for one in self._candidates}

    def _view(self, candidate: Candidate) -> EngineView:
        member = candidate.member
        cached_tokens = member.cache.cached_tokens(self._prompt.parts)
        available_tokens = max(cached_tokens, self._fetchable_tokens)
        if available_tokens - cached_tokens < MIN_FETCH_TOKENS:
            available_tokens = cached_tokens
        runner = member.runner
        return EngineView(
            runner=runner.key,
            stage=runner.stage,
            wait_s=max(member.load.wait_s(self._now), candidate.permit_wait_s),
            recent_prefill_s=member.load.recent_prefill_s(self._pause_s, self._now),
            streams=member.load.on_time_streams(self._now),
            fill=min(member.load.streams(self._now) / max(runner.slots, 1), 1),
            crowded=self._is_full(member),
            uncached_tokens=max(self._prompt.tokens - available_tokens, 1),
            fetch_tokens=available_tokens - cached_tokens,
            pace=member.model.factor(self._now),
            order=self._fill_order.get(runner.key, 0),
            zone=runner.zone,
            lost_share=member.losses.share(self._now),
            permit_interval_s=candidate.permit_interval_s,
            plain_pause_s=member.model.lasting.pause_s,
            prefill_factor=member.model.lasting.prefill_factor,
        )

    def _is_full(self, member: Member) -> bool:
        load = member.load
        if load.streams(self._now) >= member.runner.slots:
            return True
        return load.stream_tokens(self._now) + self._prompt.tokens > MEMORY_SHARE * member.kv_tokens


def _best_prefix_source(prompt: Prompt, members: Sequence[Member]) -> Member | None:
    return max(members, key=lambda member: member.cache.fetchable_tokens(prompt.parts), default=None)


def _fill_order(members: Sequence[Member]) -> dict[str, int]:
    """Return the order in which all instances fill decode engines, by runner key."""
    keys = (member.runner.key for member in members if member.runner.stage is Stage.decode)
    return {key: index for index, key in enumerate(sorted(keys))}


__all__ = ('Candidate', 'EnginePlan', 'EngineViews', 'plan_for')
