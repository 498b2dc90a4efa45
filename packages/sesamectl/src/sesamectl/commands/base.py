"""What the commands share."""

from __future__ import annotations

from random import SystemRandom
from typing import TYPE_CHECKING, Any, TypeVar

import trio

from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.registry import Registry
from sesamepoint.control.follower import Follower
from sesamepoint.platform.http_client import HttpClient
from sesamepoint.platform.http_log import HttpLog
from sesamepoint.single_error import single_error
from sesamepoint.unique_ids import new_incarnation

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Arguments = dict[str, Any]
ResultT = TypeVar('ResultT')
COMMANDS: Registry[Callable[[Arguments], str]] = Registry('command')
WAIT_S = 10.0


class LogSilentError(SesamepointError):
    """The log did not answer for as long as a command waits."""

    def __init__(self) -> None:
        """Tell what is known and what is not."""
        super().__init__(
            f'the log did not answer within {WAIT_S:.0f} s; whether the change was written is not known',
            'run "sesamectl show" before trying again',
        )


def with_follower(arguments: Arguments, deployment: str, use: Callable[[Follower], Awaitable[ResultT]]) -> ResultT:
    """Follow a deployment's control stream while ``use`` runs.

    Raises
    ------
    LogSilentError
        If the log is away for too long.
    """
    with single_error():
        return trio.run(_follow, arguments['--log'], deployment, use)


async def _follow(url: str, deployment: str, use: Callable[[Follower], Awaitable[ResultT]]) -> ResultT:
    log = HttpLog(HttpClient('log', url))
    rng = SystemRandom()
    follower = Follower(log, deployment, new_incarnation('sesamectl', rng), rng)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.follow)
        with trio.move_on_after(WAIT_S):
            await follower.recovered.wait()
            used = await use(follower)
            nursery.cancel_scope.cancel()
            return used
        nursery.cancel_scope.cancel()
    raise LogSilentError


__all__ = ('COMMANDS', 'Arguments', 'LogSilentError', 'with_follower')
