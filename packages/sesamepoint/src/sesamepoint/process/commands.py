"""Commands of the command line: one process of each kind."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, Protocol

import trio

from sesamepoint import events
from sesamepoint.process.graceful_stop import run_until_stopped
from sesamepoint.single_error import single_error


class Process(Protocol):
    """Interface of the front, entry and agent processes."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def wind_down(self) -> None:
        """Stop gracefully: finish requests in progress."""

    def reload(self) -> None:
        """Apply changed settings."""


def run_process(arguments: dict[str, Any]) -> None:
    """Run the process that the arguments of the command line name, until it is stopped."""
    process = _build(arguments)
    with single_error():
        trio.run(run_until_stopped, process.run, process.wind_down, process.reload)


def _build(arguments: dict[str, Any]) -> Process:
    """Build the process, importing only the modules of its kind.

    A front process doesn't need gRPC and the validation of entry and agent
    settings, which take 35 MB of memory.
    """
    if arguments['front']:
        return _build_front(arguments['--settings'])
    from sesamepoint.process import process_builders  # noqa: PLC0415

    path = Path(arguments['--settings'])
    return process_builders.build_entry(path) if arguments['entry'] else process_builders.build_agent(path)


def _build_front(path: str | None) -> Process:
    from sesamepoint.platform.wire_names import SETTINGS_VARIABLE  # noqa: PLC0415
    from sesamepoint.process.front_process import FrontProcess  # noqa: PLC0415

    process = FrontProcess.from_config(Path(path or os.environ[SETTINGS_VARIABLE]))
    events.set_up_logs(process.name)
    return process


__all__ = ('Process', 'run_process')
