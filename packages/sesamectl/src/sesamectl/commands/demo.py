"""``sesamectl demo``: the main workload of both users, on stand-ins."""

from __future__ import annotations

import trio

from sesamepoint_core.errors import SesamepointError
from sesamepoint.single_error import single_error
from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.demo.agents_demo import run_agents_demo
from sesamectl.demo.platform_demo import run_platform_demo


class DemoCheckError(SesamepointError):
    """The demo saw an answer that was cut off, wrong, or produced twice."""


@COMMANDS.register('demo')
def demo(arguments: Arguments) -> str:
    """Run the demo until it ends, and return its tables."""
    with single_error():
        platform_report = trio.run(run_platform_demo)
        agents_report = trio.run(run_agents_demo)
    text = '\n'.join(('on the platform:', *platform_report.lines, 'entries and agents:', *agents_report.lines))
    if not agents_report.passed or not platform_report.passed:
        raise DemoCheckError(text, 'an answer was cut off, wrong or produced twice: please report this table')
    return f'{text}\nall promises kept'


__all__ = ('demo',)
