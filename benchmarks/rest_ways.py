"""Whether the other instances should heed the rest that a runner asks one of them for.

Run by hand: python -m benchmarks.rest_ways SEEDS
"""

from __future__ import annotations

import logging
import sys
from functools import partial
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.runner_words.words import Rests
from sesamepoint.front.runner_words import RunnerWords
from sesamepoint_standins.platform.bed import running_bed
from sesamepoint_standins.platform.runner import Faults
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import asked_prompt, configuration
from tests.front.limited import Load, engines, send

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.runner_words.words import RunnerWord
    from sesamepoint_core.serving.suspects import Start
    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Seen
    from sesamepoint_standins.platform.runner import RunnerStandIn

    Take = Callable[[RunnerWord, Start, float], None]

LENGTH_S = 10.0
REST = b'3'
# From a word of one instance until the others have it.
WORD_S = 0.005
# Of the time asked for others heed so much.
HINT_SHARES = (0, 0.3, 1)
RATE = 90.0
GOOD = 200
TARGET_S = 0.25
TIMES = ((1.0, 4.5), (6.0, 7.0))


logging.getLogger('sesamepoint').addHandler(logging.NullHandler())
logging.getLogger('sesamepoint').propagate = False


class Outcome(NamedTuple):
    """What one play showed."""

    on_time: float
    lost: int
    turned_away: int


class Hint:
    """Has all instances heed a share of the rest that one was asked for."""

    def __init__(self, bed: PlatformBed, share: float) -> None:
        """Pass words on between the instances of ``bed``."""
        self._bed = bed
        self._share = share
        self._own: list[tuple[RunnerWords, Take]] = []

    def begin(self) -> None:
        """Listen to all instances."""
        for front in self._bed.fronts.values():
            words = front.words
            self._own.append((words, words.take))
            words.take = partial(self._take, words, words.take)

    def _take(self, words: RunnerWords, own: Take, word: RunnerWord, start: Start, sent_at: float) -> None:
        own(word, start, sent_at)
        if isinstance(word, Rests) and self._share:
            trio.lowlevel.spawn_system_task(self._tell, words, word, start)

    async def _tell(self, words: RunnerWords, word: Rests, start: Start) -> None:
        await trio.sleep(WORD_S)
        for others, own in self._own:
            if others is not words:
                own(Rests(word.for_s * self._share), start, 0)


async def play(seed: int, fronts: int, share: float, only: bool) -> Outcome:
    """Have one of four engines turn requests away, of one instance ``only`` or of all."""
    runners = engines(0, 4)
    load = Load(partial(asked_prompt, '/verdict/a'), RATE, LENGTH_S)
    async with running_bed(configuration(), runners, fronts=fronts) as bed:
        seen: list[Seen] = []
        hint = Hint(bed, share)
        hint.begin()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send, bed, seed, load, seen)
            for times in TIMES:
                nursery.start_soon(_turn_away, bed, runners[0], times, only)
    on_time = sum(one.status == GOOD and one.first_s <= TARGET_S for one in seen) / len(seen)
    return Outcome(on_time, sum(one.status != GOOD for one in seen), sum(one.rest_s > 0 for one in runners[0].told))


async def _send(bed: PlatformBed, seed: int, load: Load, seen: list[Seen]) -> None:
    seen.extend(await send(bed, Random(seed), load))


async def _turn_away(bed: PlatformBed, runner: RunnerStandIn, times: tuple[float, float], only: bool) -> None:
    begin, end = times
    await trio.sleep(begin)
    runner.asks_rest = (REST,)
    host = next(iter(bed.fronts.values())).cfg.host
    runner.rejects_from = host if only else ''
    runner.faults = Faults(rejects=True)
    await trio.sleep(end - begin)
    runner.faults = Faults()


def main() -> None:
    """Play all ways and print a table."""
    seeds = range(1, int(sys.argv[1]) + 1)
    for fronts, only in ((5, False), (5, True), (31, False)):
        for share in HINT_SHARES:
            found = [run_virtual(play, seed, fronts, share, only, seed=seed) for seed in seeds]
            on_time = sum(one.on_time for one in found) / len(found)
            lost = sum(one.lost for one in found) / len(found)
            away = sum(one.turned_away for one in found) / len(found)
            whom = 'one instance' if only else 'all'
            sys.stdout.write(f'| {fronts} | {whom} | {share} | {on_time:.4f} | {lost:.1f} | {away:.1f} |\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
