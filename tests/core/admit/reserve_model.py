"""Model of instances that split a reserve, with random faults and an oracle over their sum.

Each instance spends whatever its share allows at each step, as if all requests failed without end.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.admit.reserve_share import ReserveShare

if TYPE_CHECKING:
    from collections.abc import Callable

    NewShare = Callable[[str, float, Callable[[], float]], ReserveShare]

WINDOW_S = 10.0
STEP_S = 0.25
SERVICE = 'web'
# Longest pause of an instance between two looks at the list, in seconds, while nothing cuts it off.
LIST_PAUSE_S = 1.5
# Time after which the record of a silent instance is removed, in seconds.
REMOVED_AFTER_S = 20.0
REGISTER_S = 1.0
FAULT_PAUSE_S = 1.5


class Fault(NamedTuple):
    """A freeze or a cut of one instance, until a time on the clock of the model."""

    until: float
    freezes: bool


@dataclass
class Life:
    """One process of an instance.

    Parameters
    ----------
    applied
        Number of changes of the list that it has applied; None before it has read the list.
    """

    name: str
    share: ReserveShare
    applied: int | None = None
    look_at: float = 0
    register_at: float = 0
    fault: Fault | None = None
    spent: deque[float] = field(default_factory=deque)


class ReserveModel:
    """Instances, the list of them, and what they spend."""

    def __init__(self, rng: Random, instances: int, reserve: float, new_share: NewShare = ReserveShare) -> None:
        """Start all instances at once."""
        self.now: float = 100
        self.spends: list[float] = []
        self._rng = rng
        self._reserve = reserve
        self._new_share = new_share
        self._lists: list[frozenset[str]] = [frozenset()]
        self._heard_at: dict[str, float] = {}
        self._lives: dict[str, Life] = {}
        self._starts: list[tuple[float, str]] = []
        self._store_away_until: float = 0
        for number in range(instances):
            self._start(f'front-{number}')

    def run(self, duration_s: float, *, faults: bool) -> None:
        """Let time pass, with random faults if asked for."""
        end = self.now + duration_s
        fault_at = self.now + self._rng.expovariate(1 / FAULT_PAUSE_S)
        while self.now < end:
            self.now += STEP_S
            if faults and self.now >= fault_at:
                self._cause_fault()
                fault_at = self.now + self._rng.expovariate(1 / FAULT_PAUSE_S)
            self._step()

    def cut_off(self, name: str, span_s: float) -> None:
        """Cut an instance off from the store and its peers, but not from its callers and runners."""
        self._lives[name].fault = Fault(self.now + span_s, freezes=False)

    def most_in_window(self) -> int:
        """Return the most spends of all instances in a window."""
        most, first = 0, 0
        for index, at in enumerate(self.spends):
            while self.spends[first] <= at - WINDOW_S:
                first += 1
            most = max(most, index - first + 1)
        return most

    def _step(self) -> None:
        due = [start for start in self._starts if start[0] <= self.now]
        self._starts = [start for start in self._starts if start[0] > self.now]
        for _, name in due:
            if name not in self._lives:
                self._start(name)
        self._remove_silent()
        for life in list(self._lives.values()):
            self._step_life(life)

    def _step_life(self, life: Life) -> None:
        if life.fault and life.fault.until <= self.now:
            life.fault = None
        if life.fault is None:
            self._heard_at[life.name] = self.now
            self._follow_list(life)
        if life.fault is None or not life.fault.freezes:
            self._spend(life)

    def _follow_list(self, life: Life) -> None:
        if self._store_away_until > self.now:
            return
        if life.name not in self._lists[-1] and self.now >= life.register_at:
            self._lists.append(self._lists[-1] | {life.name})
        if self.now < life.look_at:
            return
        life.look_at = self.now + self._rng.uniform(0, LIST_PAUSE_S)
        if life.applied is None:
            life.share.replace_all(self._lists[-1])
        else:
            for members in self._lists[life.applied :]:
                life.share.update(members)
        life.applied = len(self._lists)
        if life.name not in self._lists[-1]:
            life.register_at = self.now + self._rng.uniform(0, REGISTER_S)
        life.share.confirm(by_store=True)

    def _spend(self, life: Life) -> None:
        while life.spent and life.spent[0] <= self.now - WINDOW_S:
            life.spent.popleft()
        while len(life.spent) + 1 <= life.share.share(self._reserve, SERVICE):
            life.spent.append(self.now)
            self.spends.append(self.now)

    def _remove_silent(self) -> None:
        silent = {name for name in self._lists[-1] if self.now - self._heard_at.get(name, 0) > REMOVED_AFTER_S}
        if silent and self._store_away_until <= self.now:
            self._lists.append(self._lists[-1] - silent)

    def _start(self, name: str) -> None:
        life = Life(name, self._new_share(name, WINDOW_S, lambda: self.now))
        life.register_at = self.now + self._rng.uniform(0, REGISTER_S)
        self._lives[name] = life

    def _cause_fault(self) -> None:
        causes = (self._kill, self._stop, self._suspend, self._suspend, self._roll, self._store_away, self._rewind)
        self._rng.choice(causes)()

    def _kill(self) -> None:
        self._end(self._any_name(), withdraws=False)

    def _stop(self) -> None:
        self._end(self._any_name(), withdraws=True)

    def _roll(self) -> None:
        for name in list(self._lives):
            self._end(name, withdraws=self._rng.choice((True, False)))

    def _end(self, name: str, *, withdraws: bool) -> None:
        self._lives.pop(name)
        if withdraws and name in self._lists[-1] and self._store_away_until <= self.now:
            self._lists.append(self._lists[-1] - {name})
        # Another instance may come in its place.
        new_name = self._rng.choice((name, name, f'{name}+'))
        self._starts.append((self.now + self._rng.uniform(0.2, 3), new_name))

    def _suspend(self) -> None:
        until = self.now + self._rng.choice((1, 5, 15, 40))
        self._lives[self._any_name()].fault = Fault(until, freezes=self._rng.choice((True, False)))

    def _store_away(self) -> None:
        self._store_away_until = self.now + self._rng.choice((1, 5, 15))

    def _rewind(self) -> None:
        """Let the store go back to an older list, which all instances read as a whole."""
        if len(self._lists) > 3:
            self._lists.append(self._lists[-3])
            for life in self._lives.values():
                life.applied = None

    def _any_name(self) -> str:
        if not self._lives:
            self._start('front-0')
        return self._rng.choice(sorted(self._lives))


__all__ = ('WINDOW_S', 'ReserveModel')
