"""The ways through a fleet of engines, their estimates, and the best one."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.serving.runner import Stage

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# An engine that decodes reads prompts at half the rate of one that only
# prefills (published by the engines' operator).
DECODE_SLOWDOWN = 2.0
# One exchange with a runner besides its work, in seconds: the round trip
# between availability zones and the set-up of a run, measured at idle engines.
EXCHANGE_S = 0.012
# What a second of an engine's time costs the requests that will queue behind
# it, in seconds of waiting.
OTHERS_WEIGHT = 1.0
# Work at a decode runner delays the prompts that wait there; a run whose
# prompt was read elsewhere only waits for the step under way.
STEP_SHARE = 0.1
# Reading a shared part away from its home costs the next request for it the
# same work again, half of the time.
AWAY_WEIGHT = 0.5


class EngineView(NamedTuple):
    """What is known of one engine at the moment of choosing.

    Parameters
    ----------
    wait_s
        Until work that comes now would begin.
    fresh_tokens
        Prompt tokens that it would have to read.
    pace
        Observed over expected times, lately.
    away_tokens
        Shared tokens it would read though they belong elsewhere.
    """

    runner: str
    stage: Stage
    wait_s: float
    fresh_tokens: int
    pace: float = 1.0
    away_tokens: int = 0


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


class Rates(NamedTuple):
    """Speeds of the engines of one service.

    ``prefill_tokens_s`` is measured; ``transfer_tokens_s`` is published.
    """

    prefill_tokens_s: float
    transfer_tokens_s: float


def best_path(views: Sequence[EngineView], rates: Rates, prompt_tokens: int) -> Path | None:
    """Return the path of least cost, or None if no engine can decode."""
    return min(all_paths(views, rates, prompt_tokens), key=_cost, default=None)


def all_paths(views: Sequence[EngineView], rates: Rates, prompt_tokens: int) -> Iterator[Path]:
    """Yield whole paths, and for each prefill runner its best second step.

    The second step of a path depends on the first only by the transfer, so
    one decode runner is the best for all prefill runners.
    """
    decoders = [view for view in views if view.stage is Stage.decode]
    for view in decoders:
        yield _whole(view, rates)
    second = min(decoders, key=_second_step_s, default=None)
    if second is None:
        return
    for view in views:
        if view.stage is Stage.prefill:
            yield _two_step(view, second, rates, prompt_tokens)


def _whole(view: EngineView, rates: Rates) -> Path:
    token_s = DECODE_SLOWDOWN * view.pace / rates.prefill_tokens_s
    work_s = view.fresh_tokens * token_s
    first_s = EXCHANGE_S + view.wait_s + work_s
    cost = first_s + OTHERS_WEIGHT * work_s + AWAY_WEIGHT * view.away_tokens * token_s
    return Path('', view.runner, first_s, work_s, cost)


def _two_step(view: EngineView, second: EngineView, rates: Rates, prompt_tokens: int) -> Path:
    token_s = view.pace / rates.prefill_tokens_s
    work_s = view.fresh_tokens * token_s
    transfer_s = prompt_tokens / rates.transfer_tokens_s
    first_s = EXCHANGE_S + view.wait_s + work_s + transfer_s + _second_step_s(second)
    cost = first_s + OTHERS_WEIGHT * (work_s + transfer_s) + AWAY_WEIGHT * view.away_tokens * token_s
    return Path(view.runner, second.runner, first_s, work_s, cost)


def _second_step_s(view: EngineView) -> float:
    return (EXCHANGE_S + STEP_SHARE * view.wait_s) * view.pace


def _cost(path: Path) -> float:
    return path.cost


__all__ = ('EngineView', 'Path', 'Rates', 'all_paths', 'best_path')
