"""Requests that share a part of their prompts which ends runners, beside requests that are sound.

Run by hand: python -m tests.front.crashing_parts FIRST-SEED LAST-SEED
"""

from __future__ import annotations

import sys
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.builders import configuration, engine, new_prompt_request

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec
    from sesamepoint_standins.platform.runner import RunnerStandIn
    from sesamepoint_standins.platform.runner_state import Run

FRONTS = 5
PREFILL_ENGINES = 2
DECODE_ENGINES = 6
HARMFUL_PART = 'harmful'
FIRST_PARTS = ('first1', 'first2', 'first3')
SECOND_PARTS = ('second1', 'second2', 'second3', 'second4', 'second5', 'second6')
SOUND_PER_S = 40.0
HARMFUL_PER_S = 3.0
CALM_S = 8.0
# The users' bounds: later than this many seconds after the fifth end, at most three requests with the part may reach
# runners; from twice as many on, sound requests are served at their first attempt at least half as often as before.
STABLE_WINDOW_S = 3.0
ENDS_ALLOWED = 5
MAX_LATE_SENDS = 3
MIN_SERVED_RATIO = 0.5
STATUS_OK = 200
# Longest pause of a caller before its one retry, in seconds.
MAX_RETRY_S = 1.0

disable_logging()


class FirstAttempt(NamedTuple):
    """First attempt of a caller, and when it was sent."""

    sent_at: float
    req: RequestSpec
    answer: CallerAnswer

    @property
    def served(self) -> bool:
        """Tell whether it got its whole answer."""
        return self.answer.status == STATUS_OK and self.answer.complete


class Figures(NamedTuple):
    """What callers and runners of one run saw.

    Parameters
    ----------
    ends
        How many runners ended.
    late_sends
        Requests with the part that reached a runner later than the users allow.
    served_before, served_after
        Share of the sound requests that were served at their first attempt, before the first end, and from the time on
        at which the users count it again.
    """

    ends: int
    sends: int
    late_sends: int
    served_before: float
    served_after: float

    def violations(self) -> list[str]:
        """Return a message for each of the users' bounds that was exceeded."""
        found = []
        if self.late_sends > MAX_LATE_SENDS:
            found.append(f'budget: {self.late_sends} sends after the fifth end, {self.ends} ends')
        if self.served_after < MIN_SERVED_RATIO * self.served_before:
            found.append(f'lost: {self.served_after:.3f} of the sound requests served, {self.served_before:.3f} before')
        return found


def engines_ending_on(parts: Iterable[str]) -> list[RunnerStandIn]:
    """Return engines that end when they begin to write on one of ``parts``."""
    listed = frozenset(parts)
    numbers = range(1, PREFILL_ENGINES + DECODE_ENGINES + 1)
    stages = ('prefill' if number <= PREFILL_ENGINES else 'decode' for number in numbers)
    return [engine(number, stage, crash_parts=listed) for number, stage in zip(numbers, stages, strict=True)]


class PartLoad:
    """Callers of sound requests, and of requests that have one harmful part more."""

    def __init__(self, bench: PlatformBench, rng: Random, harmful: Sequence[str] = (HARMFUL_PART,)) -> None:
        """Draw all random choices from ``rng``."""
        self.bench = bench
        self.attempts: list[FirstAttempt] = []
        # When the first harmful request was sent.
        self.harmful_from: float = 0
        self._rng = rng
        self._harmful = harmful

    async def run(self, calm_s: float, harmful_s: float) -> None:
        """Send sound requests all the time, and after ``calm_s`` harmful ones as well."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_sound, calm_s + harmful_s, nursery)
            await trio.sleep(calm_s)
            self.harmful_from = trio.current_time()
            await self._send_harmful(harmful_s, nursery)

    def harmful_runs(self) -> list[Run]:
        """Return the sends of harmful requests that reached a runner, prefill included."""
        names = {name.encode() for name in self._harmful}
        return [
            run
            for runner in self.bench.runners.values()
            for run in runner.runs
            if any(name in text for _, text in run.message.head.headers for name in names)
        ]

    def figures(self) -> Figures:
        """Return what was seen."""
        ends = sorted(end.at for end in self.bench.crashes)
        last_allowed = ends[:ENDS_ALLOWED][-1] if ends else self.harmful_from
        runs = self.harmful_runs()
        late = {run.request_id for run in runs if run.started_at > last_allowed + STABLE_WINDOW_S}
        return Figures(
            len(ends),
            len(runs),
            len(late) if len(ends) >= ENDS_ALLOWED else 0,
            self._served_share(0, self.harmful_from),
            self._served_share(last_allowed + 2 * STABLE_WINDOW_S, trio.current_time()),
        )

    async def _send_sound(self, for_s: float, nursery: trio.Nursery) -> None:
        until = trio.current_time() + for_s
        while trio.current_time() < until:
            nursery.start_soon(self._ask, self._request(()))
            await trio.sleep(self._rng.expovariate(SOUND_PER_S))

    async def _send_harmful(self, for_s: float, nursery: trio.Nursery) -> None:
        until = trio.current_time() + for_s
        while trio.current_time() < until:
            nursery.start_soon(self._ask, self._request((self._rng.choice(self._harmful),)))
            await trio.sleep(self._rng.expovariate(HARMFUL_PER_S))

    def _request(self, harmful: tuple[str, ...]) -> RequestSpec:
        req = new_prompt_request('/tag/a', 200, output=8)
        first = (self._rng.choice(FIRST_PARTS), 90)
        second = (self._rng.choice(SECOND_PARTS), 60)
        # The harmful part is at the second or the third place.
        middle = [second, *((name, 50) for name in harmful)]
        self._rng.shuffle(middle)
        return req._replace(parts=(first, *middle, req.parts[-1]), body=req.request_id.encode())

    async def _ask(self, req: RequestSpec) -> None:
        sent_at = trio.current_time()
        first = FirstAttempt(sent_at, req, await self._send(req))
        self.attempts.append(first)
        if not first.served:
            await trio.sleep(min(first.answer.retry_after_s or 0, MAX_RETRY_S))
            await self._send(req._replace(request_id=f'{req.request_id}-2'))

    async def _send(self, req: RequestSpec) -> CallerAnswer:
        front = f'front-{self._rng.randint(1, FRONTS)}'
        return await self.bench.new_caller(front).send(req)

    def _served_share(self, since: float, until: float) -> float:
        sound = [
            each
            for each in self.attempts
            if since <= each.sent_at < until and not {key for key, _ in each.req.parts} & set(self._harmful)
        ]
        return sum(each.served for each in sound) / max(len(sound), 1)


async def play(seed: int, harmful_s: float) -> Figures:
    """Send requests with a harmful part for some time, and return what was seen."""
    async with open_bench(configuration(), engines_ending_on((HARMFUL_PART,)), fronts=FRONTS) as bench:
        load = PartLoad(bench, Random(seed))
        await load.run(CALM_S, harmful_s)
        return load.figures()


def main() -> None:
    """Run a range of seeds and print their figures."""
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        sys.stdout.write(f'seed {seed}: {run_virtual(play, seed, 40.0, seed=seed)}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()


__all__ = ('HARMFUL_PART', 'FirstAttempt', 'Figures', 'PartLoad', 'engines_ending_on', 'play')
