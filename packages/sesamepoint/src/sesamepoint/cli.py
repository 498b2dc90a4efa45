"""Run one process of sesamepoint.

Usage:
  sesamepoint entry --settings FILE
  sesamepoint agent --settings FILE
  sesamepoint front [--settings FILE]
  sesamepoint --help
  sesamepoint --version

Options:
  --settings FILE  JSON with comments; see docs/SETTINGS.md. For front: the
                   platform's file, by default the one that the variable
                   SESAMEPOINT_CONFIG names.

Exit status: 0 after a graceful stop, 1 when a part failed for good,
2 for bad usage or bad settings.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from sesamepoint.held_signals import held_signals

if TYPE_CHECKING:
    from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit status.

    Signals are held before all else is imported, which takes some tenths of a second: a signal to reload in that time
    ended the process.
    """
    held_signals.hold()
    from sesamepoint.command_line import run_command_line  # noqa: PLC0415
    from sesamepoint.process.commands import run_process  # noqa: PLC0415

    return run_command_line(__doc__, 'sesamepoint', argv, run_process)


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('main',)
