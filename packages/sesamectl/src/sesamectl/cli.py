"""Operate sesamepoint: publish configuration, switch presets, look on.

Usage:
  sesamectl check FILE
  sesamectl publish FILE --log URL [--based-on VERSION] [--operator NAME]
  sesamectl preset NAME --deployment NAME --log URL [--based-on VERSION] [--operator NAME]
  sesamectl show --deployment NAME --log URL [--json]
  sesamectl explain --entry ADDRESS [--json]
  sesamectl explain REQUEST-ID [--logs FILE]
  sesamectl explain (--caller IP | --account NAME) [--route ROUTE] [--at TIME] [--within SECONDS] [--logs FILE]
  sesamectl explain --content ID [--logs FILE]
  sesamectl burn [--logs FILE] [--account NAME] [--objective PERCENT] [--window SECONDS] [--html FILE]
  sesamectl loss [--logs FILE] [--account NAME] [--late-share SHARE] [--window SECONDS] [--html FILE]
  sesamectl experiment --deployment NAME --scenario NAME [--policy NAME | --compare NAMES] [--seed N] [--json]
  sesamectl experiment --list
  sesamectl demo
  sesamectl --help
  sesamectl --version

Options:
  --log URL            The platform's log, as http://IP:PORT.
  --deployment NAME    The deployment that is meant.
  --based-on VERSION   The version that the change was made from; by default
                       the one in force when the command starts.
  --operator NAME      Who publishes [default: operator].
  --json               One JSON object instead of text.
  --scenario NAME      A shipped scenario, or a file.
  --policy NAME        A registered policy [default: default].
  --compare NAMES      Policies, with commas, on the same arrivals.
  --seed N             Seed of the arrivals and of all choices [default: 1].
  --entry ADDRESS      An entry's metrics address, as IP:PORT.
  --caller IP          A caller's address, for requests whose ids nobody has.
  --account NAME       Only requests of this client account.
  --route ROUTE        Only requests of this route.
  --at TIME            About when the request ended, as HH:MM:SS of the logs.
  --within SECONDS     How far from that it may lie [default: 60].
  --logs FILE          Logs of all front processes; by default standard input.
  --objective PERCENT  Share of requests that has to be on time [default: 95].
  --window SECONDS     Length of the windows that are looked at [default: 10].
  --late-share SHARE   What a late answer keeps of its worth [default: 0.3].
  --html FILE          Write a page with charts there too.
  --list               List policies and shipped scenarios.

Exit status: 0 for success, 1 for a refusal by the system, 2 for bad usage
or a bad file.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from sesamepoint.command_line import run_command_line
from sesamectl.commands import burn, check, demo, experiment, explain, loss, publish, show  # noqa: F401
from sesamectl.commands.base import COMMANDS, Arguments

if TYPE_CHECKING:
    from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    return run_command_line(__doc__, 'sesamectl', argv, _run)


def _run(arguments: Arguments) -> None:
    name = next(command for command in COMMANDS if arguments[command])
    sys.stdout.write(f'{COMMANDS.get(name)(arguments)}\n')


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('main',)
