"""What to do next for a stream that has to go on, by the runners of its origin."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection


class OriginRunner(NamedTuple):
    """A registered runner of a stream's origin.

    Parameters
    ----------
    tried
        Whether the stream, or an attempt to go on with it, has been at the runner.
    ended
        Whether the runner has crashed, or has not taken the stream up a second time.
    draining
        Whether it takes no new work.
    """

    key: str
    tried: bool = False
    ended: bool = False
    draining: bool = False


class NextStep(Enum):
    """What to do next for a stream.

    ``run``: choose among the runners that it has not been at. ``run_again``: only runners
    that it has been at are left, and some are alive. ``wait``: all have crashed; a crashed
    runner is mostly replaced by one of the same version, within a second. ``refuse``: no runner of
    the origin is left, or those that are left take no new work.
    """

    run = 'run'
    run_again = 'run_again'
    wait = 'wait'
    refuse = 'refuse'


def next_step(runners: Collection[OriginRunner]) -> NextStep:
    """Return what to do next for a stream whose origin has ``runners``."""
    serving = [runner for runner in runners if not runner.draining]
    if any(not runner.tried for runner in serving):
        return NextStep.run
    if any(not runner.ended for runner in serving):
        return NextStep.run_again
    return NextStep.wait if serving else NextStep.refuse


__all__ = ('NextStep', 'OriginRunner', 'next_step')
