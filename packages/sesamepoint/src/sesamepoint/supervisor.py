"""Supervision of a process's components, with restarts after failures."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import SesamepointError
from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
BACKOFF_FACTOR = 2


class Child(NamedTuple):
    """A component of a process.

    ``start`` runs until cancelled; if it returns, the component is finished.
    """

    name: str
    start: Callable[[], Awaitable[None]]


class RestartLimit(NamedTuple):
    """Maximum number of restarts of a component within a time window."""

    restarts: int = 10
    window_s: float = 60.0


class SupervisorGaveUpError(SesamepointError):
    """A component failed more often than its restart limit allows."""

    def __init__(self, component: str) -> None:
        """Set the name of the component."""
        super().__init__(f'{component} failed too often', 'the platform restarts the process; read its last events')


class Supervisor:
    """Runs components concurrently and restarts those that fail.

    A failure doesn't affect the other components. Requests in flight run in
    tasks of their own and continue when the component that started them fails.
    """

    def __init__(self, name: str, limit: RestartLimit | None = None) -> None:
        """Set the restart limit; each component counts its own restarts."""
        self._name = name
        self._limit = limit or RestartLimit()

    async def run(self, children: Sequence[Child]) -> None:
        """Run ``children`` until all have finished or one fails too often.

        Raises
        ------
        SupervisorGaveUpError
            If a component has used up its restarts; the others are cancelled.
        """
        async with trio.open_nursery() as nursery:
            for child in children:
                nursery.start_soon(self._run_child, child)

    async def _run_child(self, child: Child) -> None:
        failures: deque[float] = deque()
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                return await child.start()
            except Exception as exc:
                self._count_failure(child, failures, exc)
            await trio.sleep(backoff_s)
            backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)

    def _count_failure(self, child: Child, failures: deque[float], exc: Exception) -> None:
        now = trio.current_time()
        failures.append(now)
        while failures[0] < now - self._limit.window_s:
            failures.popleft()
        part = f'{self._name}.{child.name}'
        if len(failures) > self._limit.restarts:
            events.log_event(events.COMPONENT_GAVE_UP, part=part, cause=repr(exc))
            raise SupervisorGaveUpError(part) from exc
        events.log_event(events.COMPONENT_RESTARTED, part=part, cause=repr(exc))


__all__ = ('Child', 'RestartLimit', 'Supervisor', 'SupervisorGaveUpError')
