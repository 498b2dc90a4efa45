"""Running on virtual time, the same way every time."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, TypeVar

import trio
from trio._core import _run as scheduler
from trio.testing import MockClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ResultT = TypeVar('ResultT')


def run_virtual(main: Callable[..., Awaitable[ResultT]], *arguments: object, seed: int = 1) -> ResultT:
    """Run ``main`` on a clock that jumps over idle time.

    trio shuffles the tasks that are ready at the same moment, from a source
    that is seeded anew in each process. A run that found a failure could
    then not be repeated, and two runs of one experiment would differ. The
    switch and the source are the ones that trio keeps for such tests.
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
    return trio.run(main, *arguments, clock=MockClock(autojump_threshold=0))


def quiet_logs() -> None:
    """Write no lines of the program: thousands a run, and nobody reads them."""
    logger = logging.getLogger('sesamepoint')
    logger.addHandler(logging.NullHandler())
    logger.propagate = False


__all__ = ('quiet_logs', 'run_virtual')
