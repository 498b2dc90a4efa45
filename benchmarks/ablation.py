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
from sesamepoint_core.serving import placement
from sesamepoint.front.engines.backlog import Backlog
from sesamepoint.front.engines.cache_inventory import CacheInventory
from sesamepoint.front.engines.engine_queue import EngineQueue
from sesamepoint.front.peering.peers import Peers
from sesamepoint.front.engines.queue_triage import QueueTriage, Waiter
from sesamepoint.front.requests.retry_detection import RetryDetector
from sesamepoint.front.runners.runner_selection import RunnerSelector
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.burst import LONG_TARGET_S, SHORT_TARGET_S, STATUS_REFUSED, run_burst, served_share

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tests.front.burst import AnsweredRequest

    Patcher = Callable[[ExitStack], None]

PERCENT = 100
PATCHERS: Registry[Patcher] = Registry('mechanism')


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
    _print_line(_format_row('without', [f'{name:>18}' for name in Row._fields]))
    baseline = _mean([_run_seed(seed) for seed in seeds])
    _print_row('(nothing)', baseline)
    for name in PATCHERS:
        with _without(PATCHERS.get(name)):
            _print_row(name, _mean([_run_seed(seed) for seed in seeds]))


@contextmanager
def _without(patcher: Patcher) -> Iterator[None]:
    with ExitStack() as stack:
        patcher(stack)
        yield


def _run_seed(seed: int) -> Row:
    long, short = run_virtual(run_burst, seed)
    return Row(
        PERCENT * served_share(long, LONG_TARGET_S),
        PERCENT * served_share(long, math.inf),
        PERCENT * served_share(short, SHORT_TARGET_S),
        PERCENT * sum(request.answer.status == STATUS_REFUSED for request in long) / len(long),
        _count_unanswered([*long, *short]),
    )


def _count_unanswered(requests: list[AnsweredRequest]) -> int:
    return sum(not request.answer.complete for request in requests)


def _mean(rows: list[Row]) -> Row:
    return Row(*(sum(column) / len(rows) for column in zip(*rows, strict=True)))


def _print_row(name: str, row: Row) -> None:
    _print_line(_format_row(name, [f'{figure:>18.1f}' for figure in row]))


def _format_row(name: str, cells: list[str]) -> str:
    return ''.join((f'{name:<34}', *cells))


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')


@PATCHERS.register('words between entries')
def _no_peer_updates(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Peers, 'broadcast_sends', _sleep_forever))


@PATCHERS.register('holding work at the entry')
def _no_queueing(stack: ExitStack) -> None:
    stack.enter_context(patch.object(EngineQueue, 'must_queue', _return_false))


@PATCHERS.register('lots before long sends')
def _no_send_jitter(stack: ExitStack) -> None:
    stack.enter_context(patch('sesamepoint.front.engines.engine_queue.MAX_JITTER_S', 0))


@PATCHERS.register('refusing what is late for others')
def _no_contention_refusals(stack: ExitStack) -> None:
    stack.enter_context(patch.object(QueueTriage, 'count_timely', _return_zero))


@PATCHERS.register('knowing who comes back')
def _no_retry_detection(stack: ExitStack) -> None:
    stack.enter_context(patch.object(RetryDetector, 'is_retry', _return_false))


@PATCHERS.register('going first at last call')
def _no_urgent_retries(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Waiter, 'urgent_retry', new=False))


@PATCHERS.register('serving small work late')
def _no_late_small_requests(stack: ExitStack) -> None:
    stack.enter_context(patch('sesamepoint.front.engines.queue_triage.SMALL_WORK_S', 0))


@PATCHERS.register('pricing engine time by the line')
def _no_queue_price(stack: ExitStack) -> None:
    stack.enter_context(patch.object(RunnerSelector, '_queue_price', _return_fixed_price))


@PATCHERS.register('what the others hold')
def _no_peer_backlog(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Backlog, 'at_peers', _return_empty))


@PATCHERS.register('asking engines what they keep')
def _no_cache_inventory(stack: ExitStack) -> None:
    stack.enter_context(patch.object(CacheInventory, 'run', _sleep_forever))


@PATCHERS.register('order of decode engines')
def _no_decode_order(stack: ExitStack) -> None:
    stack.enter_context(patch.object(placement, 'ORDER_S', 0))


async def _sleep_forever(*_: object) -> None:
    await trio.sleep_forever()


def _return_false(*_: object) -> bool:
    return False


def _return_zero(*_: object) -> int:
    return 0


def _return_fixed_price(*_: object) -> float:
    return placement.QUEUED_WEIGHT


def _return_empty(*_: object) -> list[object]:
    return []


if __name__ == '__main__':
    main()
