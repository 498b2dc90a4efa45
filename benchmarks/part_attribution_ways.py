"""Ways to name the part that ends runners, compared on the same seeds in a simulation without I/O.

Run by hand: python -m benchmarks.part_attribution_ways SEEDS
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from statistics import median
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
from sesamepoint_core.crash_attribution.evidence import PartEnd
from sesamepoint_core.crash_attribution.suspect_parts import NAMING_RULE, NamingRule
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint_core.serving.prompt import Part

if TYPE_CHECKING:
    from collections.abc import Mapping

NEVER = 1_000_000
WAYS: Mapping[str, NamingRule] = MappingProxyType(
    {
        'count ends, send nothing alone': NamingRule(NEVER, 3, 0),
        'alone from the second end, one end alone': NamingRule(2, 3, 1),
        'alone from the second end, two ends alone': NamingRule(2, 3, 2),
        'alone from the first end, one end alone': NamingRule(1, 2, 1),
        'alone from the first end, two ends alone (built)': NAMING_RULE,
    }
)
ENGINES = 6
DURATION_S = 60.0
CALM_S = 8.0
SOUND_PER_S = 40.0
HARMFUL_PER_S = 3.0
# A caller begins to send prompts with a part that nobody has seen, this often; sixty with it follow.
NEW_PARTS_PER_S = 0.2
NEW_PART_REQUESTS = 60
NEW_PART_SPAN_S = 20.0
ANSWER_S = 0.3
CRASH_S = 0.1
RESTART_S = 3.5
CLAIM_S = 0.05
# Time until all instances know of an end.
PROPAGATION_S = 0.01
MEAN_DRILL_PAUSE_S = 6.0
# In a storm engines end by themselves so often that few answers are whole.
STORM_PAUSE_S = 0.7
STORM_ANSWER_S = 0.9
RETRY_S = 0.1


# Parts of a request, and whether it was sent alone.
_Sent = tuple[tuple[Part, ...], bool]
_Action = tuple[float, int, Callable[[], None]]


class WayFigures(NamedTuple):
    """What one way did in one run."""

    ends_until_named: int | None
    wrong_names: int
    held: int
    sound: int


class _Run:
    """Requests in progress at one engine."""

    def __init__(self, engine: int) -> None:
        self.incarnation = Incarnation(f'e{engine}', 1)
        self.requests: dict[int, _Sent] = {}
        self.up = True

    def restart(self) -> None:
        self.incarnation = Incarnation(self.incarnation.runner, self.incarnation.born_ms + 1)
        self.up = True


class Simulation:
    """Engines, requests and what all instances know together, a moment later."""

    def __init__(self, rule: NamingRule, seed: int, *, harmful: bool, drill_pause_s: float = 0) -> None:
        """Draw all random choices from ``seed``; engines end by themselves if a pause is given."""
        self._drill_pause_s = drill_pause_s
        self._answer_s = STORM_ANSWER_S if drill_pause_s == STORM_PAUSE_S else ANSWER_S
        self.suspects = CrashSuspects(rule)
        self._rng = Random(seed)
        self._engines = [_Run(number) for number in range(ENGINES)]
        self._events: list[_Action] = []
        self._serial = count()
        self._now: float = 0
        self._probing = False
        self._named_after: int | None = None
        self._wrong = 0
        self._ends = 0
        self._held = 0
        self._sound = 0
        self._later(0, self._send_sound)
        self._later(self._rng.expovariate(NEW_PARTS_PER_S), self._send_new_part)
        if harmful:
            self._later(CALM_S, self._send_harmful)
        if drill_pause_s:
            self._later(self._rng.expovariate(1 / drill_pause_s), self._drill)

    def run(self) -> WayFigures:
        """Play until the duration is over."""
        while self._events and self._now < DURATION_S:
            due = heappop(self._events)
            self._now = due[0]
            due[2]()
        return WayFigures(self._named_after, self._wrong, self._held, self._sound)

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        heappush(self._events, (self._now + delay_s, next(self._serial), action))

    def _send_sound(self) -> None:
        self._sound += 1
        parts = (Part(f'first{self._rng.randint(1, 3)}', 90), Part(f'second{self._rng.randint(1, 6)}', 60))
        self._arrive(parts, sound=True)
        self._later(self._rng.expovariate(SOUND_PER_S), self._send_sound)

    def _send_new_part(self) -> None:
        new = Part(f'new{next(self._serial)}', 50)
        arrive = partial(self._arrive, (Part('first1', 90), new), sound=True)
        for _ in range(NEW_PART_REQUESTS):
            self._later(self._rng.uniform(0, NEW_PART_SPAN_S), arrive)
        self._later(self._rng.expovariate(NEW_PARTS_PER_S), self._send_new_part)

    def _send_harmful(self) -> None:
        second = Part(f'second{self._rng.randint(1, 6)}', 60)
        self._arrive((Part('first1', 90), second, Part('harmful', 50)), sound=False)
        self._later(self._rng.expovariate(HARMFUL_PER_S), self._send_harmful)

    def _drill(self) -> None:
        """End some engines at the same moment, whatever they run."""
        for engine in self._rng.sample(self._engines, self._rng.choice((1, 1, 2, ENGINES))):
            self._end(engine)
        self._later(self._rng.expovariate(1 / self._drill_pause_s), self._drill)

    def _arrive(self, parts: tuple[Part, ...], *, sound: bool, waited: bool = False) -> None:
        if self.suspects.quarantined_parts(parts):
            return
        suspect = bool(self.suspects.suspect_parts(parts))
        engines = [engine for engine in self._engines if engine.up]
        if not engines or (suspect and self._probing):
            self._held += sound and suspect and not waited
            self._later(RETRY_S, lambda: self._arrive(parts, sound=sound, waited=True))
            return
        engine = min(engines, key=lambda each: len(each.requests))
        self._probing = self._probing or suspect
        self._later(CLAIM_S if suspect else 0, lambda: self._begin(engine, parts, alone=suspect, sound=sound))

    def _begin(self, engine: _Run, parts: tuple[Part, ...], *, alone: bool, sound: bool) -> None:
        if not engine.up:
            self._probing = self._probing and not alone
            return
        number = next(self._serial)
        engine.requests[number] = (parts, alone)
        if sound:
            self._later(self._answer_s, lambda: self._answer(engine, number))
        else:
            self._later(CRASH_S, lambda: self._end(engine) if number in engine.requests else None)

    def _answer(self, engine: _Run, number: int) -> None:
        found = engine.requests.pop(number, None)
        if found is None:
            return
        parts, alone = found
        self._probing = self._probing and not alone
        self.suspects.parts.note_answered(parts, '')
        for part in parts:
            if part.key in self.suspects.part_quarantine:
                self.suspects.release_part(part.key)

    def _end(self, engine: _Run) -> None:
        if not engine.up:
            return
        requests, incarnation = tuple(engine.requests.values()), engine.incarnation
        engine.requests.clear()
        engine.up = False
        self._ends += any(part.key == 'harmful' for parts, _ in requests for part in parts)
        self._later(PROPAGATION_S, lambda: self._learn(requests, incarnation))
        self._later(RESTART_S, engine.restart)

    def _learn(self, requests: tuple[_Sent, ...], incarnation: Incarnation) -> None:
        for parts, alone in requests:
            self._probing = self._probing and not alone
            candidates = self.suspects.parts.candidates(parts, '')
            ends = [PartEnd(part.key, part.tokens, incarnation, '', alone) for part in candidates]
            for verdict in self.suspects.note_part_ends(ends, self._now):
                self._note_name(verdict.key)

    def _note_name(self, key: str) -> None:
        if key == 'harmful':
            self._named_after = self._named_after or self._ends
        else:
            self._wrong += 1


def report(name: str, rule: NamingRule, seeds: int) -> str:
    """Return the figures of one way."""
    cases = range(1, seeds + 1)
    harmful = [Simulation(rule, seed, harmful=True).run() for seed in cases]
    both = [Simulation(rule, seed, harmful=True, drill_pause_s=MEAN_DRILL_PAUSE_S).run() for seed in cases]
    drills = [Simulation(rule, seed, harmful=False, drill_pause_s=MEAN_DRILL_PAUSE_S).run() for seed in cases]
    storm = [Simulation(rule, seed, harmful=False, drill_pause_s=STORM_PAUSE_S).run() for seed in cases]
    named = [one.ends_until_named for one in harmful if one.ends_until_named is not None]
    named_beside = [one.ends_until_named for one in both if one.ends_until_named is not None]
    held = sum(one.held for one in drills) / sum(one.sound for one in drills)
    return (
        f'{name}: ends until named {median(named or [0])} (worst {max(named, default=0)}, never {seeds - len(named)}), '
        f'beside drills {median(named_beside or [0])} (worst {max(named_beside, default=0)}, '
        f'never {seeds - len(named_beside)}); wrong names {sum(one.wrong_names for one in harmful)}, '
        f'beside drills {sum(one.wrong_names for one in both)}, drills alone {sum(one.wrong_names for one in drills)}, '
        f'storm {sum(one.wrong_names for one in storm)}; '
        f'sound requests held in drills {held:.5f}'
    )


def main() -> None:
    """Print the figures of each way."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    for name, rule in WAYS.items():
        sys.stdout.write(f'{report(name, rule, seeds)}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
