"""What each mechanism of the front is worth in the burst of tests/front/burst.py.

One after the other is switched off by a patch, on the same seeds: ``make
ablation FIRST=1 LAST=5``. The patches are the seams; the product has no flags.
"""

from __future__ import annotations

import math
import sys
from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

import trio

from sesamepoint_core.registry import Registry
from sesamepoint_core.serving import placement
from sesamepoint.front.backlog import Backlog
from sesamepoint.front.cache_inventory import CacheInventory
from sesamepoint.front.engine_queue import EngineQueue
from sesamepoint.front.peers import Peers
from sesamepoint.front.queue_triage import QueueTriage, Waiter
from sesamepoint.front.retry_detection import RetryDetector
from sesamepoint.front.runner_selection import RunnerSelector
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.burst import LONG_TARGET_S, SHORT_TARGET_S, STATUS_REFUSED, run_burst, served_share

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tests.front.burst import AnsweredRequest

    Switch = Callable[[ExitStack], None]

PERCENT = 100
SWITCHES: Registry[Switch] = Registry('mechanism')


class Row(NamedTuple):
    """What callers saw without one mechanism, in hundredths; ``unanswered`` is a count a seed."""

    long_on_time: float
    long_served: float
    short_on_time: float
    refused_for_good: float
    unanswered: float


def main() -> None:
    """Print the table: a line with everything, then one without each mechanism."""
    first, last = (int(text) for text in sys.argv[1:3])
    seeds = range(first, last + 1)
    _say(_line('without', [f'{name:>18}' for name in Row._fields]))
    everything = _mean([_play(seed) for seed in seeds])
    _show('(nothing)', everything)
    for name in SWITCHES:
        with _without(SWITCHES.get(name)):
            _show(name, _mean([_play(seed) for seed in seeds]))


@contextmanager
def _without(switch: Switch) -> Iterator[None]:
    with ExitStack() as stack:
        switch(stack)
        yield


def _play(seed: int) -> Row:
    long, short = run_virtual(run_burst, seed)
    return Row(
        PERCENT * served_share(long, LONG_TARGET_S),
        PERCENT * served_share(long, math.inf),
        PERCENT * served_share(short, SHORT_TARGET_S),
        PERCENT * sum(one.answer.status == STATUS_REFUSED for one in long) / len(long),
        _unanswered([*long, *short]),
    )


def _unanswered(found: list[AnsweredRequest]) -> int:
    return sum(not one.answer.complete for one in found)


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
    stack.enter_context(patch.object(Peers, 'broadcast_sends', _forever))


@SWITCHES.register('holding work at the entry')
def _no_holding(stack: ExitStack) -> None:
    stack.enter_context(patch.object(EngineQueue, 'must_queue', _never))


@SWITCHES.register('lots before long sends')
def _no_lots(stack: ExitStack) -> None:
    stack.enter_context(patch('sesamepoint.front.engine_queue.MAX_JITTER_S', 0))


@SWITCHES.register('refusing what is late for others')
def _no_rivals(stack: ExitStack) -> None:
    stack.enter_context(patch.object(QueueTriage, 'count_timely', _none))


@SWITCHES.register('knowing who comes back')
def _no_returned(stack: ExitStack) -> None:
    stack.enter_context(patch.object(RetryDetector, 'is_retry', _never))


@SWITCHES.register('going first at last call')
def _no_last_call(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Waiter, 'urgent_retry', new=False))


@SWITCHES.register('serving small work late')
def _no_small(stack: ExitStack) -> None:
    stack.enter_context(patch('sesamepoint.front.queue_triage.SMALL_WORK_S', 0))


@SWITCHES.register('pricing engine time by the line')
def _no_price(stack: ExitStack) -> None:
    stack.enter_context(patch.object(RunnerSelector, '_queue_price', _one))


@SWITCHES.register('what the others hold')
def _no_backlog(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Backlog, 'at_peers', _empty))


@SWITCHES.register('asking engines what they keep')
def _no_inventory(stack: ExitStack) -> None:
    stack.enter_context(patch.object(CacheInventory, 'run', _forever))


@SWITCHES.register('order of decode engines')
def _no_order(stack: ExitStack) -> None:
    stack.enter_context(patch.object(placement, 'ORDER_S', 0))


async def _forever(*_: object) -> None:
    await trio.sleep_forever()


def _never(*_: object) -> bool:
    return False


def _none(*_: object) -> int:
    return 0


def _one(*_: object) -> float:
    return placement.QUEUED_WEIGHT


def _empty(*_: object) -> list[object]:
    return []


if __name__ == '__main__':
    main()
