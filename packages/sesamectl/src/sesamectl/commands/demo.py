"""``sesamectl demo``: the main job of both users, with everything in it."""

from __future__ import annotations

import trio

from sesamepoint_core.errors import SesamepointError
from sesamepoint.single_error import single_error
from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.demo.platform import run_platform_demo
from sesamectl.demo.run import run_demo


class PromiseBrokenError(SesamepointError):
    """The demo saw an answer cut off, wrong, or made twice."""


@COMMANDS.register('demo')
def demo(arguments: Arguments) -> str:
    """Run the demo; it ends by itself."""
    with single_error():
        platform_end = trio.run(run_platform_demo)
        end = trio.run(run_demo)
    text = '\n'.join(('on the platform:', *platform_end.lines, 'entries and agents:', *end.lines))
    if not end.kept or not platform_end.kept:
        raise PromiseBrokenError(text, 'a promise was broken: please report this table')
    return f'{text}\nall promises kept'


__all__ = ('demo',)
