"""Registry of the commands, and access to a deployment's control stream."""

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
LOG_TIMEOUT_S = 10.0


class LogSilentError(SesamepointError):
    """The log did not answer within the time limit of a command."""

    def __init__(self) -> None:
        """Build the error."""
        super().__init__(
            f'the log did not answer within {LOG_TIMEOUT_S:.0f} s; whether the change was written is not known',
            'run "sesamectl show" before trying again',
        )


def with_follower(arguments: Arguments, deployment: str, action: Callable[[Follower], Awaitable[ResultT]]) -> ResultT:
    """Follow a deployment's control stream while a callback runs, and return what it returns.

    Raises
    ------
    LogSilentError
        If the log does not answer within the time limit.
    """
    with single_error():
        return trio.run(_run_with_follower, arguments['--log'], deployment, action)


async def _run_with_follower(url: str, deployment: str, action: Callable[[Follower], Awaitable[ResultT]]) -> ResultT:
    log = HttpLog(HttpClient('log', url))
    rng = SystemRandom()
    follower = Follower(log, deployment, new_incarnation('sesamectl', rng), rng)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.follow)
        with trio.move_on_after(LOG_TIMEOUT_S):
            await follower.recovered.wait()
            returned = await action(follower)
            nursery.cancel_scope.cancel()
            return returned
        nursery.cancel_scope.cancel()
    raise LogSilentError


__all__ = ('COMMANDS', 'Arguments', 'LogSilentError', 'with_follower')
