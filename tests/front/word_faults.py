"""Random faults with runners that report draining, back-off and rate limits in their answers.

Run by hand: python -m tests.front.word_faults FIRST-SEED LAST-SEED
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from sesamepoint_standins.platform.runner_state import Faults
from sesamepoint_standins.platform.status_bounds import back_off_violations, caller_draining_violations
from tests.front.builders import configuration, engine, plain_runner
from tests.front.limit_faults import LimitFaultSimulation
from tests.front.random_faults import FRONTS, STABLE_S, find_violations, main

if TYPE_CHECKING:
    from sesamepoint_standins.platform.runner import RunnerStandIn

BACK_OFF_HEADERS = (b'1', b'3', b'8')
MAX_ROLLBACK_S = 4.0
# The store counts as stable after so long without a disruption; bounds on requests apply only then.
STORE_STABLE_S = 3.0


class Isolation(NamedTuple):
    """A time in which all links of a host to its peers were cut, in seconds."""

    host: str
    since: float
    until: float = math.inf


class StatusFaultSimulation(LimitFaultSimulation):
    """Runners send all three status headers; the store fails, slows down or rolls back, and instances restart."""

    def __init__(self, bed: PlatformBench, rng: Random) -> None:
        """Draw all from ``rng``."""
        super().__init__(bed, rng)
        self._rolled_back_at = -math.inf
        # Times at which an instance was cut off from all of its peers.
        self._isolations: list[Isolation] = []
        words = (self._report_draining, self._start_back_off, self._report_all)
        self._steps = (*self._steps, *words, *words, self._end_back_offs, self._roll_back_store, self._cut_peer_link)

    def status_violations(self) -> list[str]:
        """Return violations: requests to runners that were draining or in back-off."""
        runners = self.all_runners()
        violations = [
            text for runner in runners for text in caller_draining_violations(runner, self._has_started_between)[:1]
        ]
        return violations + [
            text for runner in runners for text in back_off_violations(runner, is_excused=self._has_started_between)[:1]
        ]

    def out_of_touch(self, host: str, left_at: float, at: float) -> bool:
        """Tell whether a request by an instance that started after the runner had left does not count.

        An instance that is cut off from all peers at its start can't be told either: its links have lost all packets.
        """
        starts = [start for start in self.instance_starts.get(host, ()) if left_at < start <= at]
        isolated = starts and any(
            one.host == host and one.since <= starts[-1] and at < one.until + STABLE_S for one in self._isolations
        )
        return bool(isolated) or super().out_of_touch(host, left_at, at)

    def _has_started_between(self, host: str, since: float, until: float) -> bool:
        return any(since <= at <= until for at in self.instance_starts.get(host, ()))

    def _runner_not_draining(self) -> RunnerStandIn:
        """Return a runner that does not report draining."""
        return self._rng.choice([runner for runner in self.bench.runners.values() if not runner.draining_headers])

    def _report_draining(self) -> None:
        """Have a runner report draining in its answers only, and add a replacement."""
        runner = self._runner_not_draining()
        self._add_replacement(runner)
        runner.draining_headers = (b'1',)

    def _start_back_off(self) -> None:
        self._start_back_off_of(self._any_runner())

    def _start_back_off_of(self, runner: RunnerStandIn) -> None:
        runner.faults = Faults(rejects=True)
        runner.back_off_headers = (self._rng.choice(BACK_OFF_HEADERS),)

    def _report_all(self) -> None:
        runner = self._runner_not_draining()
        self._change_limit_of(runner)
        self._start_back_off_of(runner)
        self._add_replacement(runner)
        runner.draining_headers = (b'1',)

    def _end_back_offs(self) -> None:
        for runner in self.bench.runners.values():
            if runner.back_off_headers:
                runner.faults = Faults()

    def _drain_one(self) -> None:
        """Drain a runner through its registration, unless the store has just rolled back.

        An instance may miss what is written before it has read the new history, until the
        runner writes again, as real ones do each second.
        """
        if trio.current_time() - self._rolled_back_at > STORE_STABLE_S:
            super()._drain_one()

    def _roll_back_store(self) -> None:
        """Roll the store back to an older copy whose registrations show draining runners as ready."""
        self._rolled_back_at = trio.current_time()
        self.bench.store.roll_back(self._rng.uniform(0, MAX_ROLLBACK_S))
        for runner in self.bench.runners.values():
            self.bench.store.put('keyed.servers', runner.key, runner.registration)
        self._excuse_unread_drains()

    def _cut_peer_link(self) -> None:
        first, second = self._rng.sample(list(self.bench.fronts.values()), 2)
        self.bench.network.cut_pairs.add(frozenset((first.cfg.host, second.cfg.host)))
        hosts = {front.cfg.host for front in self.bench.fronts.values()}
        for host in hosts:
            if all(frozenset((host, peer)) in self.bench.network.cut_pairs for peer in hosts - {host}):
                self._isolations.append(Isolation(host, trio.current_time()))

    def _clear_faults(self) -> None:
        super()._clear_faults()
        now = trio.current_time()
        self._isolations = [one._replace(until=min(one.until, now)) for one in self._isolations]


async def run_seed(seed: int) -> list[str]:
    """Run one seed and return the violations."""
    rng = Random(seed)
    runners = [plain_runner(number) for number in range(1, 5)]
    runners += [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 8)]
    async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
        simulation = StatusFaultSimulation(bench, rng)
        await simulation.run()
        return [*find_violations(simulation), *simulation.limit_violations(), *simulation.status_violations()]


if __name__ == '__main__':
    main(run_seed)
