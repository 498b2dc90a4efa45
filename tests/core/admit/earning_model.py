"""Model of instances whose callers move while all requests fail, with an oracle over all instances.

Each request fails at once and asks the budget of its instance for one repeat.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from sesamepoint_core.admit.window_budget import WindowBudget
from tests.front.retry_budget.repeat_oracle import BudgetBound, WorstWindow, worst_window

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

CALLERS = 60
# How long a new process has no share of the reserve, in seconds.
RESERVE_HELD_S = 14.0
DISTURBANCE_PAUSE_S = 2.5
BOUND = BudgetBound(ratio=0.2, slack=58, window_s=10)


class Budget(Protocol):
    """What the model needs of a budget of one instance."""

    def earn(self) -> None:
        """Count one request."""

    def spend(self) -> Any:
        """Take a repeat; return what paid for it, or None if there is none."""

    def settle(self, payment: Any) -> None:
        """Note that it was read."""

    def resize(self, reserve: float) -> None:
        """Change the share of the reserve."""


class SlidingEarnings:
    """Exceeds the bound when callers move: the last window of an instance pays for its repeats."""

    def __init__(self, ratio: float, reserve: float, window_s: float, clock: Callable[[], float]) -> None:
        """Start with nothing earned and nothing spent."""
        self._ratio = ratio
        self._reserve = reserve
        self._window_s = window_s
        self._clock = clock
        self._earned: deque[float] = deque()
        self._spent: deque[float] = deque()

    def earn(self) -> None:
        """Count one request."""
        self._earned.append(self._clock())

    def resize(self, reserve: float) -> None:
        """Change the share of the reserve."""
        self._reserve = reserve

    def settle(self, payment: Any) -> None:
        """Do nothing: the time of the payment counts."""

    def spend(self) -> float | None:
        """Take a repeat if the requests and repeats of the last window allow it."""
        since = self._clock() - self._window_s
        for times in (self._earned, self._spent):
            while times and times[0] <= since:
                times.popleft()
        if len(self._spent) + 1 > self._ratio * len(self._earned) + self._reserve:
            return None
        self._spent.append(self._clock())
        return self._spent[-1]


class _Life(NamedTuple):
    """One process of an instance."""

    budget: Budget
    started_at: float


class Load(NamedTuple):
    """Instances, requests a second, and times in seconds: calm, failing, and failing before the first disturbance."""

    instances: int
    requests_per_s: float
    calm_s: float = 30
    failing_s: float = 22
    spending_s: float = 3


class EarningModel:
    """Instances, their callers, and the repeats that their budgets grant."""

    def __init__(self, rng: Random, load: Load, new_budget: Callable[..., Budget] = WindowBudget) -> None:
        """Start instances that have been up for long, without requests so far."""
        self.now: float = 100
        self.sent_at: list[float] = []
        self.repeated_at: list[float] = []
        self._rng = rng
        self._load = load
        self._new_budget = new_budget
        self._lives = [self._new_life(0) for _ in range(load.instances)]
        self._instance_of = [caller % load.instances for caller in range(max(CALLERS, load.instances))]

    def run(self, *, disturbed: bool) -> WorstWindow:
        """Let requests succeed, then fail; disturb the instances meanwhile if asked for."""
        failing_at = self.now + self._load.calm_s
        self._run_until(failing_at, fails=False)
        next_at = failing_at + self._load.spending_s if disturbed else failing_at + self._load.failing_s
        while next_at < failing_at + self._load.failing_s:
            self._run_until(next_at, fails=True)
            self._disturb()
            next_at += self._rng.expovariate(1 / DISTURBANCE_PAUSE_S)
        self._run_until(failing_at + self._load.failing_s, fails=True)
        return worst_window(BOUND, self.sent_at, self.repeated_at)

    def usable_share(self) -> float:
        """Return the repeats within a window from the beginning of the failures, as a share of the bound."""
        began_at = self.repeated_at[0]
        repeats = sum(at <= began_at + BOUND.window_s for at in self.repeated_at)
        return repeats / (BOUND.ratio * self._load.requests_per_s * BOUND.window_s + BOUND.slack)

    def _run_until(self, end: float, *, fails: bool) -> None:
        while True:
            pause_s = self._rng.expovariate(self._load.requests_per_s)
            if self.now + pause_s > end:
                break
            self.now += pause_s
            self._request(fails=fails)
        self.now = end

    def _request(self, *, fails: bool) -> None:
        life = self._lives[self._rng.choice(self._instance_of)]
        self.sent_at.append(self.now)
        life.budget.earn()
        has_share = self.now - life.started_at >= RESERVE_HELD_S
        life.budget.resize(BOUND.slack / self._load.instances if has_share else 0)
        payment = life.budget.spend() if fails else None
        if payment is not None:
            life.budget.settle(payment)
            self.repeated_at.append(self.now)

    def _new_life(self, started_at: float) -> _Life:
        budget = self._new_budget(BOUND.ratio, 0, BOUND.window_s, lambda: self.now)
        return _Life(budget, started_at)

    def _disturb(self) -> None:
        self._rng.choice((self._kill_one, self._kill_all, self._move_some, self._move_one, self._deal_anew))()

    def _kill_one(self) -> None:
        self._lives[self._any_instance()] = self._new_life(self.now)

    def _kill_all(self) -> None:
        self._lives = [self._new_life(self.now) for _ in self._lives]

    def _move_some(self) -> None:
        """Move the callers of some instances to one other."""
        target = self._any_instance()
        left = {self._any_instance() for _ in range(len(self._lives) // 2 + 1)}
        self._instance_of = [target if instance in left else instance for instance in self._instance_of]

    def _move_one(self) -> None:
        """Move the callers of one instance to any others."""
        left = self._any_instance()
        self._instance_of = [self._any_instance() if instance == left else instance for instance in self._instance_of]

    def _deal_anew(self) -> None:
        """Give all callers to a few instances, as a balancer that has lost the others."""
        kept = [self._any_instance() for _ in range(1 + len(self._lives) // 3)]
        self._instance_of = [self._rng.choice(kept) for _ in self._instance_of]

    def _any_instance(self) -> int:
        return self._rng.randrange(len(self._lives))


__all__ = ('BOUND', 'EarningModel', 'Load', 'SlidingEarnings')
