"""Operate sesamepoint: publish configuration, switch presets, inspect the system.

Usage:
  sesamectl check FILE
  sesamectl publish FILE --log URL [--based-on VERSION] [--operator NAME]
  sesamectl preset NAME --deployment NAME --log URL [--based-on VERSION] [--operator NAME]
  sesamectl show --deployment NAME --log URL [--json]
  sesamectl explain --entry ADDRESS [--json]
  sesamectl explain REQUEST-ID [--logs FILE]
  sesamectl explain (--caller IP | --account NAME) [--route ROUTE] [--at TIME] [--within SECONDS] [--logs FILE]
  sesamectl explain (--content ID | --part KEY) [--logs FILE]
  sesamectl burn [--logs FILE] [--account NAME] [--objective PERCENT] [--window SECONDS] [--html FILE]
  sesamectl loss [--logs FILE] [--account NAME] [--late-share SHARE] [--window SECONDS] [--html FILE]
  sesamectl budget [--logs FILE]
  sesamectl experiment --deployment NAME --scenario NAME [--policy NAME | --compare NAMES] [--seed N] [--json]
  sesamectl experiment --list
  sesamectl demo
  sesamectl --help
  sesamectl --version

Options:
  --log URL            The platform's log, as http://IP:PORT.
  --deployment NAME    Name of the deployment.
  --based-on VERSION   Version that the change was made from; by default
                       the one in force when the command starts.
  --operator NAME      Name to record with the change [default: operator].
  --json               Print one JSON object instead of text.
  --scenario NAME      Name of a shipped scenario, or a file.
  --policy NAME        Name of a registered policy [default: default].
  --compare NAMES      Policies to run on the same arrivals, separated by commas.
  --seed N             Seed of the arrivals and of all random choices [default: 1].
  --entry ADDRESS      Metrics address of an instance, as IP:PORT.
  --caller IP          Address of a caller, for requests whose id is unknown.
  --account NAME       Only requests of this client account.
  --route ROUTE        Only requests of this route.
  --at TIME            Approximate time at which the request ended, as HH:MM:SS of the logs.
  --within SECONDS     Largest distance from that time [default: 60].
  --logs FILE          Logs of all front processes; by default standard input.
  --objective PERCENT  Share of requests that must be on time [default: 95].
  --window SECONDS     Length of the time windows [default: 10].
  --late-share SHARE   Share of its worth that a late answer keeps [default: 0.3].
  --html FILE          Also write a page with charts to this file.
  --list               List policies and shipped scenarios.

Exit status: 0 for success, 1 for a refusal by the system, 2 for bad usage
or a bad file.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from sesamepoint.command_line import run_command_line
from sesamectl.commands import budget, burn, check, demo, experiment, explain, loss, publish, show  # noqa: F401
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
