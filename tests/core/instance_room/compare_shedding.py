"""Comparison of what an instance does that gets most new connections.

Run by hand: python -m tests.core.instance_room.compare_shedding

One of six instances gets four fifths of the new connections of all for some seconds, and callers open more of them. A
connection that is closed unread is tried once more, at another instance.
"""

from __future__ import annotations

import sys
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.instance_room.connection_shedding import ConnectionShedding
from tests.core.instance_room.processor_model import (
    DEADLINE_S,
    INSTANCES,
    NETWORK_S,
    STEP_COSTS_S,
    TARGET_S,
    Call,
    Model,
    NoAdmission,
    SojournAdmission,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from tests.core.instance_room.processor_model import Action, Admission, Instance

ACCEPT_COST_S = 0.0003
FLOOD_FROM_S, FLOOD_UNTIL_S, RUN_S = 12.0, 22.0, 30.0
STABLE_WINDOW_S = 3.0
FLOOD_SHARE = 0.8
# Callers open new connections for this share of the calls, and for all of them in the flood.
NEW_SHARE = 0.4
SEEDS = range(1, 7)


class CloseUnread(SojournAdmission):
    """Closes new connections while they arrive in excess and the loop is late, and most peers are not."""

    def __init__(self) -> None:
        """Start without connections."""
        super().__init__()
        self._shedding = ConnectionShedding()

    def sheds(self, now: float) -> bool:
        """Return whether to close a new connection unread."""
        self._shedding.note_connection(now)
        has_room = self._lagging_peers.others_have_room(INSTANCES - 1, now)
        return has_room and self._shedding.sheds(self.loop_lag_s(), TARGET_S, now)


class CloseUnreadOnly(CloseUnread):
    """Closes new connections as above, and refuses nothing once it is read."""

    def refuses(self, target_left_s: float, now: float) -> bool:
        """Return False."""
        return False


METHODS: Mapping[str, Callable[[], Admission]] = MappingProxyType(
    {
        'serve all': NoAdmission,
        'refuse what was read (before)': SojournAdmission,
        'close unread, and refuse': CloseUnread,
        'close unread only': CloseUnreadOnly,
    }
)


class Load(NamedTuple):
    """Share of a core of each instance, and the calls of all as a share of their capacity."""

    share: float
    load: float


LOADS: Mapping[str, Load] = MappingProxyType(
    {
        '0.12 of a core, at 0.25': Load(0.12, 0.25),
        '0.12 of a core, at 0.4': Load(0.12, 0.4),
        '0.387 of a core, at 0.4': Load(0.387, 0.4),
        '0.8 of a core, at 0.4': Load(0.8, 0.4),
    }
)


class Shares(NamedTuple):
    """Shares of the calls that were served, in time or late, at the first attempt that was read."""

    before: float
    flood: float
    mean_first_s: float
    closed: float


def play(load: Load, new_admission: Callable[[], Admission], seed: int) -> Shares:
    """Play a flood with one method."""
    model = Model((load.share,) * INSTANCES, new_admission, seed)
    rate = load.load * INSTANCES * load.share / sum(STEP_COSTS_S)
    closed: list[Call] = []
    now: float = 0
    while now < RUN_S:
        now += model.rng.expovariate(rate)
        call = Call(now)
        model.calls.append(call)
        flood = FLOOD_FROM_S <= now < FLOOD_UNTIL_S
        is_new = flood or model.rng.random() < NEW_SHARE
        target = model.instances[0] if flood and model.rng.random() < FLOOD_SHARE else model.rng.choice(model.instances)
        if is_new:
            model.at(now, _connect(model, target, call, closed))
        else:
            model.at(now, target.receiver(call))
    model.run(RUN_S + DEADLINE_S)
    before = [call for call in model.calls if call.arrived_at < FLOOD_FROM_S]
    counted = (FLOOD_FROM_S + STABLE_WINDOW_S, FLOOD_UNTIL_S)
    during = [call for call in model.calls if counted[0] <= call.arrived_at < counted[1]]
    firsts = [call.first_s for call in during if call.first_s is not None]
    return Shares(_served(before), _served(during), sum(firsts) / max(len(firsts), 1), len(closed) / len(model.calls))


def _connect(model: Model, instance: Instance, call: Call, closed: list[Call]) -> Action:
    """Return the arrival of a connection, which one step of the loop accepts before its request is read."""

    def accept(now: float) -> None:
        sheds = getattr(instance.admission, 'sheds', None)
        if call not in closed and sheds is not None and sheds(now):
            closed.append(call)
            others = [one for one in model.instances if one is not instance]
            other = model.rng.choice(others)
            model.at(now + 2 * NETWORK_S, _connect(model, other, call, closed))
        else:
            instance.receiver(call)(now)

    return lambda now: instance.add(now, ACCEPT_COST_S, accept)


def _served(calls: list[Call]) -> float:
    """Return the share served at the first attempt that was read: a refusal of one that was read is none."""
    served = sum(not call.retry and call.first_s is not None and call.first_s <= DEADLINE_S for call in calls)
    return served / max(len(calls), 1)


def main() -> None:
    """Write a row for each load and method."""
    for name, load in LOADS.items():
        for method, new_admission in METHODS.items():
            runs = [play(load, new_admission, seed) for seed in SEEDS]
            means = [sum(column) / len(runs) for column in zip(*runs, strict=True)]
            worst = min(run.flood / run.before for run in runs)
            cells = ' | '.join(f'{figure:.3f}' for figure in (*means[:2], worst, *means[2:]))
            sys.stdout.write(f'| {name} | {method} | {cells} |\n')


if __name__ == '__main__':
    main()

__all__ = ('LOADS', 'METHODS', 'play')
