"""Deterministic runs in virtual time."""

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
    """Run ``main`` on a clock that skips idle time, deterministically for a seed.

    trio shuffles the tasks that are ready at the same time with a random
    generator that is seeded differently in each process, so failures could not
    be reproduced and two runs of one experiment would differ. trio provides
    the private switch and generator used here for such tests.
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
    return trio.run(main, *arguments, clock=MockClock(autojump_threshold=0))


def disable_logging() -> None:
    """Disable the log output of ``sesamepoint``, thousands of lines a run."""
    logger = logging.getLogger('sesamepoint')
    logger.addHandler(logging.NullHandler())
    logger.propagate = False


__all__ = ('disable_logging', 'run_virtual')
