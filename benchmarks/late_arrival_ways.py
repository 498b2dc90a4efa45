"""Ways to keep the bound on repeats that are read late: python -m benchmarks.late_arrival_ways SEEDS."""

from __future__ import annotations

import sys
from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from sesamepoint_core.admit.window_budget import WindowBudget
from sesamepoint.front.retry_budget.service_life import ServiceLife
from tests.core.admit.earning_model import BOUND
from tests.core.admit.late_arrival_model import LateArrivalModel, Life, Load

if TYPE_CHECKING:
    from collections.abc import Mapping

LONG_STALL_S = (5.0, 25.0)
LOADS: Mapping[str, Load] = MappingProxyType(
    {
        'calm': Load(stall_s=(0, 0)),
        'stalls': Load(runners=8, requests_per_s=200),
        'long stalls': Load(runners=8, requests_per_s=200, stall_s=LONG_STALL_S),
        'callers move': Load(runners=8, requests_per_s=200, moves=True, stall_s=LONG_STALL_S),
        'instances killed': Load(requests_per_s=120, kills=True, ejects=True, stall_s=LONG_STALL_S),
    }
)
# Part of the ratio and the reserve that a larger margin leaves.
MARGIN_SHARE = 0.75


class UnreadOnly(Life):
    """Repeats stay spent until they are read; whether runners show life doesn't matter."""

    def note_request(self) -> None:
        """Count a request."""
        self._budget.earn()

    def spend(self) -> Any:
        """Return what pays for a repeat now, or None."""
        self._life = ServiceLife(BOUND.window_s, self._model.time)
        self._life.note_life()
        return super().spend()

    def _earn(self) -> None:
        """Do nothing: it has earned already."""


class PaidAtSend(UnreadOnly):
    """Landing 20: a repeat leaves the window a window after it was paid."""

    def spend(self) -> Any:
        """Return what pays for a repeat now, or None."""
        payment = super().spend()
        if payment is not None:
            self._budget.settle(payment)
        return payment

    def _settle(self, payment: Any) -> None:
        """Do nothing: it is settled already."""


class LargerMargin(PaidAtSend):
    """Landing 20 with less of the bound in use."""

    def __init__(self, model: LateArrivalModel) -> None:
        """Start now."""
        super().__init__(model)
        self._budget = WindowBudget(MARGIN_SHARE * BOUND.ratio, 0, BOUND.window_s, model.time)


class LongerWindow(PaidAtSend):
    """Landing 20 with windows of twice the length."""

    def __init__(self, model: LateArrivalModel) -> None:
        """Start now."""
        super().__init__(model)
        self._budget = WindowBudget(BOUND.ratio / 2, 0, 2 * BOUND.window_s, model.time)


class OnlyAfterRead(PaidAtSend):
    """Landing 20, but no second send while the first may still be read."""

    def may_repeat(self, sends: list[Any]) -> bool:
        """Tell whether a request may be sent once more."""
        return all(send.shown for send in sends)


WAYS: Mapping[str, type[Life]] = MappingProxyType(
    {
        'paid at send (landing 20)': PaidAtSend,
        'the same, a quarter as margin': LargerMargin,
        'the same, window of twice the length': LongerWindow,
        'no second send while the first may be read': OnlyAfterRead,
        'spent until read': UnreadOnly,
        'spent until read, nothing earned at a standstill': Life,
    }
)


def main(seeds: int) -> None:
    """Print a row for each way and load."""
    sys.stdout.write(
        '| way | load | seeds over the bound | worst excess | repeats |\n| --- | --- | --- | --- | --- |\n'
    )
    for way, new_life in WAYS.items():
        for name, load in LOADS.items():
            models = [LateArrivalModel(Random(seed), load, new_life) for seed in range(1, seeds + 1)]
            excess = [model.run().excess for model in models]
            over = sum(each > 0 for each in excess)
            repeats = sum(len(model.repeated_at) for model in models) / seeds
            sys.stdout.write(f'| {way} | {name} | {over} of {seeds} | {max(excess):.0f} | {repeats:.0f} |\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main(int(sys.argv[1]))
