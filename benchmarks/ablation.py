"""Ablation benchmark: the burst of tests/front/burst.py without one mechanism of the front at a time.

Each mechanism is disabled by a patch, on the same seeds, since the product has
no flags for it. Run: ``make ablation FIRST=1 LAST=5``.
"""

from __future__ import annotations

import math
import sys
from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

import trio

from sesamepoint_core.registry import Registry
from sesamepoint_core.serving import paths
from sesamepoint.front.backlog import Backlog
from sesamepoint.front.choice import Chooser
from sesamepoint.front.inventory import Inventory
from sesamepoint.front.lines import Lines, Waiter
from sesamepoint.front.peers import Peers
from sesamepoint.front.usual_deadlines import UsualDeadlines
from sesamepoint.front.waiting import WaitingRoom
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.burst import LONG_TARGET_S, REFUSED, SHORT_TARGET_S, play_burst, served

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tests.front.burst import Answered

    Switch = Callable[[ExitStack], None]

PERCENT = 100
SWITCHES: Registry[Switch] = Registry('mechanism')


class Row(NamedTuple):
    """Share of requests that were on time, served or refused, in percent; ``unanswered`` is a count per seed."""

    long_on_time: float
    long_served: float
    short_on_time: float
    refused_for_good: float
    unanswered: float


def main() -> None:
    """Print a row with all mechanisms enabled, then one row without each of them."""
    first, last = (int(text) for text in sys.argv[1:3])
    seeds = range(first, last + 1)
    _say(_line('without', [f'{name:>18}' for name in Row._fields]))
    baseline = _mean([_play(seed) for seed in seeds])
    _show('(nothing)', baseline)
    for name in SWITCHES:
        with _without(SWITCHES.get(name)):
            _show(name, _mean([_play(seed) for seed in seeds]))


@contextmanager
def _without(switch: Switch) -> Iterator[None]:
    with ExitStack() as stack:
        switch(stack)
        yield


def _play(seed: int) -> Row:
    long, short = run_virtual(play_burst, seed)
    return Row(
        PERCENT * served(long, LONG_TARGET_S),
        PERCENT * served(long, math.inf),
        PERCENT * served(short, SHORT_TARGET_S),
        PERCENT * sum(request.seen.status == REFUSED for request in long) / len(long),
        _unanswered([*long, *short]),
    )


def _unanswered(requests: list[Answered]) -> int:
    return sum(not request.seen.whole for request in requests)


def _mean(rows: list[Row]) -> Row:
    return Row(*(sum(column) / len(rows) for column in zip(*rows, strict=True)))


def _show(name: str, row: Row) -> None:
    _say(_line(name, [f'{figure:>18.1f}' for figure in row]))


def _line(name: str, cells: list[str]) -> str:
    return ''.join((f'{name:<34}', *cells))


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')


@SWITCHES.register('words between entries')
def _no_words(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Peers, 'tell', _forever))


@SWITCHES.register('holding work at the entry')
def _no_holding(stack: ExitStack) -> None:
    stack.enter_context(patch.object(WaitingRoom, 'holds', _never))


@SWITCHES.register('lots before long sends')
def _no_lots(stack: ExitStack) -> None:
    stack.enter_context(patch('sesamepoint.front.waiting.BACK_OFF_S', 0))


@SWITCHES.register('refusing what is late for others')
def _no_rivals(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Lines, 'rivals', _none))


@SWITCHES.register('knowing who comes back')
def _no_returned(stack: ExitStack) -> None:
    stack.enter_context(patch.object(UsualDeadlines, 'returned', _never))


@SWITCHES.register('going first at last call')
def _no_last_call(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Waiter, 'last_call', new=False))


@SWITCHES.register('serving small work late')
def _no_small(stack: ExitStack) -> None:
    stack.enter_context(patch('sesamepoint.front.lines.SMALL_WORK_S', 0))


@SWITCHES.register('pricing engine time by the line')
def _no_price(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Chooser, '_price', _one))


@SWITCHES.register('what the others hold')
def _no_backlog(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Backlog, 'at_peers', _empty))


@SWITCHES.register('asking engines what they keep')
def _no_inventory(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Inventory, 'run', _forever))


@SWITCHES.register('order of decode engines')
def _no_order(stack: ExitStack) -> None:
    stack.enter_context(patch.object(paths, 'ORDER_S', 0))


async def _forever(*_: object) -> None:
    await trio.sleep_forever()


def _never(*_: object) -> bool:
    return False


def _none(*_: object) -> int:
    return 0


def _one(*_: object) -> float:
    return paths.OTHERS_WEIGHT


def _empty(*_: object) -> list[object]:
    return []


if __name__ == '__main__':
    main()
