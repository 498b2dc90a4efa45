"""Run one stand-in.

Usage:
  sesamepoint-standin platform --listen ADDRESS
  sesamepoint-standin engine --listen ADDRESS [--role ROLE] [--ignores-fencing]
  sesamepoint-standin plain --listen ADDRESS
  sesamepoint-standin --help

Options:
  --listen ADDRESS   IP:PORT to listen on.
  --role ROLE        Role loaded at first [default: mixed].
  --ignores-fencing  Take orders under old fencing numbers as well.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import trio

from sesamepoint.command_line import run_command_line
from sesamepoint.process.asgi_server import serve_asgi
from sesamepoint_standins.asgi_apps import EngineApp, PlainApp, PlatformApp
from sesamepoint_standins.engine import Engine
from sesamepoint_standins.memory_platform import MemoryInstances, MemoryLog

if TYPE_CHECKING:
    from collections.abc import Sequence


async def serve_platform(address: str) -> None:
    """Serve the log and the list of instances at ``address``."""
    await serve_asgi(PlatformApp(MemoryLog(), MemoryInstances()), address)


async def serve_engine(address: str, engine: Engine) -> None:
    """Run and serve one engine at ``address``."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run)
        await serve_asgi(EngineApp(engine), address)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    return run_command_line(__doc__, 'sesamepoint-standins', argv, _serve)


def _serve(arguments: dict[str, str]) -> None:
    address = arguments['--listen']
    if arguments['platform']:
        trio.run(serve_platform, address)
    elif arguments['engine']:
        engine = Engine(arguments['--role'], checks_fencing=not arguments['--ignores-fencing'])
        trio.run(serve_engine, address, engine)
    else:
        trio.run(serve_asgi, PlainApp(), address)


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('main', 'serve_engine', 'serve_platform')
