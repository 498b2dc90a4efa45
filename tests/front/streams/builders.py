"""Builders of engines of several software versions, and of streams that they break."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import trio

from sesamepoint_standins.platform.stream_caller import TakenStream, stream_over_attempts
from tests.front.builders import configuration, engine, new_prompt_request, route

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.runner import RunnerStandIn

# Pause between two streams of a load, in seconds.
STREAM_INTERVAL_S = 0.02


def versioned_engines(first: int, count: int, version: str, **changes: Any) -> list[RunnerStandIn]:
    """Return ``count`` decode engines of ``version``, numbered from ``first``, that mark their events."""
    return [
        replace(engine(number, 'decode', version=version, marks_events=True), **changes)
        for number in range(first, first + count)
    ]


def break_streams(runners: Sequence[RunnerStandIn], at_event: int | None = 3) -> None:
    """Have ``runners`` break off each stream that they begin before the event ``at_event``."""
    for runner in runners:
        runner.faults.breaks_at_event = at_event


def stream_configuration(attempts: int = 2, **changes: Any) -> dict[str, Any]:
    """Return a configuration whose resumable route allows ``attempts`` runners for one attempt of a caller."""
    tag = route('tag', '/tag/', 'llm', 'streaming', resumable=True, gap_aim_ms=150, max_attempts=attempts, **changes)
    return {**configuration(), 'routes': [tag]}


async def run_streams(bench: PlatformBench, count: int, fronts: Sequence[str], **changes: Any) -> list[TakenStream]:
    """Run ``count`` streams whose callers send each of their attempts to the next one of ``fronts``."""
    streams: list[TakenStream] = []

    async def run_one() -> None:
        callers = [bench.new_caller(front) for front in fronts]
        streams.append(await stream_over_attempts(new_prompt_request('/tag/a', **changes), callers))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(run_one)
            await trio.sleep(STREAM_INTERVAL_S)
    return streams


__all__ = ('break_streams', 'run_streams', 'stream_configuration', 'versioned_engines')
