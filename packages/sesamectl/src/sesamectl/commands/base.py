"""Registry of the commands, and access to a deployment's control stream."""

from __future__ import annotations

from random import SystemRandom
from typing import TYPE_CHECKING, Any, TypeVar

import trio

from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.registry import Registry
from sesamepoint.control.follower import Follower
from sesamepoint.incarnation import new_incarnation
from sesamepoint.platform.http import HttpCaller
from sesamepoint.platform.http_log import HttpLog
from sesamepoint.single_error import single_error

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Arguments = dict[str, Any]
ResultT = TypeVar('ResultT')
COMMANDS: Registry[Callable[[Arguments], str]] = Registry('command')
WAIT_S = 10.0


class LogSilentError(SesamepointError):
    """The log did not answer within the time limit of a command."""

    def __init__(self) -> None:
        """Build the error."""
        super().__init__(
            f'the log did not answer within {WAIT_S:.0f} s; whether the change was written is not known',
            'run "sesamectl show" before trying again',
        )


def with_follower(arguments: Arguments, deployment: str, use: Callable[[Follower], Awaitable[ResultT]]) -> ResultT:
    """Follow a deployment's control stream while a callback runs, and return what it returns.

    Raises
    ------
    LogSilentError
        If the log does not answer within the time limit.
    """
    with single_error():
        return trio.run(_follow, arguments['--log'], deployment, use)


async def _follow(url: str, deployment: str, use: Callable[[Follower], Awaitable[ResultT]]) -> ResultT:
    log = HttpLog(HttpCaller('log', url))
    rng = SystemRandom()
    follower = Follower(log, deployment, new_incarnation('sesamectl', rng), rng)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.follow)
        with trio.move_on_after(WAIT_S):
            await follower.recovered.wait()
            returned = await use(follower)
            nursery.cancel_scope.cancel()
            return returned
        nursery.cancel_scope.cancel()
    raise LogSilentError


__all__ = ('COMMANDS', 'Arguments', 'LogSilentError', 'with_follower')
