"""Random faults with runners that report draining, back-off and rate limits in their answers.

Run by hand: python -m tests.front.word_faults FIRST-SEED LAST-SEED
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

import trio

from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from sesamepoint_standins.platform.runner import Faults
from sesamepoint_standins.platform.word_bounds import in_rest, requests_after_leaving
from tests.front.builders import configuration, engine, plain_runner
from tests.front.limit_faults import LimitWorld
from tests.front.random_faults import FRONTS, broken_promises, main

if TYPE_CHECKING:
    from sesamepoint_standins.platform.runner import RunnerStandIn

RESTS = (b'1', b'3', b'8')
LONGEST_BACK_S = 4.0
# The store counts as stable after so long without a disruption; bounds on requests apply only then.
STABLE_S = 3.0


class WordWorld(LimitWorld):
    """Runners send all three status headers; the store fails, slows down or rolls back, and instances restart."""

    def __init__(self, bed: PlatformBed, rng: Random) -> None:
        """Draw all from ``rng``."""
        super().__init__(bed, rng)
        self._back_at = -math.inf
        words = (self._say_leaving, self._ask_rest, self._say_all)
        self._steps = (*self._steps, *words, *words, self._end_rests, self._store_back, self._cut_peers)

    def over_words(self) -> list[str]:
        """Return violations: requests to runners that were draining or in back-off."""
        runners = self.runners()
        violations = [text for runner in runners for text in requests_after_leaving(runner, self._started_between)[:1]]
        return violations + [text for runner in runners for text in in_rest(runner, excused=self._started_between)[:1]]

    def _started_between(self, host: str, since: float, until: float) -> bool:
        return any(since <= at <= until for at in self.starts.get(host, ()))

    def _unsaid(self) -> RunnerStandIn:
        """Return a runner that does not report draining."""
        return self._rng.choice([runner for runner in self.bed.runners.values() if not runner.says_leaving])

    def _say_leaving(self) -> None:
        """Have a runner report draining in its answers only, and add a replacement."""
        runner = self._unsaid()
        self._replacement(runner)
        runner.says_leaving = (b'1',)

    def _ask_rest(self) -> None:
        self._rest(self._any_runner())

    def _rest(self, runner: RunnerStandIn) -> None:
        runner.faults = Faults(rejects=True)
        runner.asks_rest = (self._rng.choice(RESTS),)

    def _say_all(self) -> None:
        runner = self._unsaid()
        self._name_limit_of(runner)
        self._rest(runner)
        self._replacement(runner)
        runner.says_leaving = (b'1',)

    def _end_rests(self) -> None:
        for runner in self.bed.runners.values():
            if runner.asks_rest:
                runner.faults = Faults()

    def _drain_one(self) -> None:
        """Drain a runner through its registration, unless the store has just rolled back.

        An instance may miss what is written before it has read the new history, until the
        runner writes again, as real ones do each second.
        """
        if trio.current_time() - self._back_at > STABLE_S:
            super()._drain_one()

    def _store_back(self) -> None:
        """Roll the store back to an older copy whose registrations show draining runners as ready."""
        self._back_at = trio.current_time()
        self.bed.store.go_back(self._rng.uniform(0, LONGEST_BACK_S))
        for runner in self.bed.runners.values():
            self.bed.store.put('keyed.servers', runner.key, runner.record)
        self._excuse_unread_drains()

    def _cut_peers(self) -> None:
        first, second = self._rng.sample(list(self.bed.fronts.values()), 2)
        self.bed.network.cut.add(frozenset((first.cfg.host, second.cfg.host)))


async def play(seed: int) -> list[str]:
    """Run one seed and return the violations."""
    rng = Random(seed)
    runners = [plain_runner(number) for number in range(1, 5)]
    runners += [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 8)]
    async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
        simulation = WordWorld(bench, rng)
        await simulation.play()
        return [*broken_promises(simulation), *simulation.over_limits(), *simulation.over_words()]


if __name__ == '__main__':
    main(play)
