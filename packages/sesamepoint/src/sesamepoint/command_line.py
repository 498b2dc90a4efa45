"""Argument parsing and exit status of the command-line programs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from docopt import DocoptExit, docopt

from sesamepoint_core.errors import SesamepointError
from sesamepoint.settings_error import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

EXIT_FAILURE = 1
EXIT_USAGE = 2


def run_command_line(
    usage: str,
    program: str,
    argv: Sequence[str] | None,
    command: Callable[[dict[str, Any]], None],
) -> int:
    """Parse arguments by ``usage``, run the command with them, and return the exit status.

    Returns
    -------
    int
        0 for success, 1 for an error of sesamepoint or the operating system,
        2 for wrong usage or invalid settings.
    """
    try:
        arguments = docopt(usage, argv, version=_Version(program))
    except DocoptExit as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_USAGE
    try:
        command(arguments)
    except SettingsError as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_USAGE
    except (SesamepointError, OSError) as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_FAILURE
    return 0


class _Version:
    """The installed version of a program, or a placeholder if it isn't installed.

    It is looked up only when it is printed: a process that starts does not need
    ``importlib.metadata``, which imports 20 ms of modules.
    """

    def __init__(self, program: str) -> None:
        self._program = program

    def __str__(self) -> str:
        from importlib.metadata import PackageNotFoundError, version  # noqa: PLC0415

        try:
            return version(self._program)
        except PackageNotFoundError:
            return 'from a source tree'


__all__ = ('run_command_line',)
