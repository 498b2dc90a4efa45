"""Upper bound on the goodput of a trial's arrivals.

The time is divided into tiles. A request that arrives and is due inside one
tile must be processed inside it, and needs at least the engine time that it
would take in its best role, in full batches, with its shared prefix cached.
If the requests of a tile need more engine time than all runners have, some
cannot be answered in time: at least as many as must be dropped, largest
first, until the others fit. The bound assumes that role changes cost nothing
and that the future is known, so no policy does better. Tiles do not overlap,
so their losses add up; the bound is the tightest over several tile lengths.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.config.model import EngineConfig
    from sesamepoint.entry.request import CallerRequest
    from sesamectl.experiment.arrivals import Arrival
    from sesamectl.experiment.trial import Trial

TILES_S = (15, 30, 60, 120, 240, 600, 1200)


def ideal_goodput(trial: Trial, offered: Sequence[Arrival]) -> float:
    """Return the bound, as a share of the requests offered."""
    if not offered:
        return 1
    lost = max(sum(_min_lost(trial, fleet, offered, tile_s) for fleet in _engine_fleets(trial)) for tile_s in TILES_S)
    return 1 - lost / len(offered)


def min_engine_s(engine: EngineConfig, req: CallerRequest) -> float:
    """Return the least engine time that a request needs, in seconds."""
    prompt = max(req.job.prompt_tokens - req.job.prefix_tokens, 1)
    output = req.job.output_tokens
    profiles = engine['profiles'].values()
    steps = max(
        prompt / max(profile['chunk_tokens'] for profile in profiles),
        output / max(profile['max_running'] for profile in profiles),
    )
    return steps * engine['base_step_s'] + prompt * engine['prefill_token_s'] + output * engine['decode_answer_s']


def _engine_fleets(trial: Trial) -> list[str]:
    return [name for name, fleet in trial.configuration['fleets'].items() if 'engine' in fleet]


def _min_lost(trial: Trial, fleet: str, offered: Sequence[Arrival], tile_s: float) -> int:
    engine = trial.configuration['fleets'][fleet]['engine']
    runners = sum(runner['fleet'] == fleet for runner in trial.configuration['runners'].values())
    needs: dict[int, list[float]] = defaultdict(list)
    for arrival in offered:
        tile = int(arrival.at // tile_s)
        if arrival.request.fleet == fleet and arrival.at + arrival.request.timeout_s <= (tile + 1) * tile_s:
            needs[tile].append(min_engine_s(engine, arrival.request))
    return sum(_min_dropped(need, runners * tile_s) for need in needs.values())


def _min_dropped(needs: list[float], capacity_s: float) -> int:
    over_s = sum(needs) - capacity_s
    dropped = 0
    for need in sorted(needs, reverse=True):
        if over_s <= 0:
            break
        over_s -= need
        dropped += 1
    return dropped


__all__ = ('ideal_goodput', 'min_engine_s')
