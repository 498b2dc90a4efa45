"""Run one process of sesamepoint.

Usage:
  sesamepoint entry --settings FILE
  sesamepoint agent --settings FILE
  sesamepoint --help
  sesamepoint --version

Options:
  --settings FILE  JSON with comments; see docs/SETTINGS.md.

Exit status: 0 after a graceful stop, 1 when a part failed for good,
2 for bad usage or bad settings.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

import trio

from sesamepoint import events
from sesamepoint.command_line import run_command_line
from sesamepoint.process.agent_process import AgentProcess
from sesamepoint.process.entry_process import EntryProcess
from sesamepoint.process.stop import run_until_stopped
from sesamepoint.settings.load import load_settings
from sesamepoint.settings.model import AgentSettings, EntrySettings
from sesamepoint.single_error import single_error

if TYPE_CHECKING:
    from collections.abc import Sequence


class Process(Protocol):
    """What the two kinds of process share."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def wind_down(self) -> None:
        """Finish what is under way."""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    return run_command_line(__doc__, 'sesamepoint', argv, _run)


def _run(arguments: dict[str, Any]) -> None:
    process = _build(arguments)
    with single_error():
        trio.run(run_until_stopped, process.run, process.wind_down)


def _build(arguments: dict[str, Any]) -> Process:
    path = Path(arguments['--settings'])
    if arguments['entry']:
        entry_cfg = load_settings(path, EntrySettings)
        events.set_up_logs(entry_cfg['name'])
        return EntryProcess.from_config(entry_cfg)
    agent_cfg = load_settings(path, AgentSettings)
    events.set_up_logs(agent_cfg['name'])
    return AgentProcess.from_config(agent_cfg)


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('main',)
