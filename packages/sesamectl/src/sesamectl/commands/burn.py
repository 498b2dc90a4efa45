"""``sesamectl burn``: which routes miss their objective, when, and how fast."""

from __future__ import annotations

import math
from pathlib import Path

from sesamectl.burn import read_burn
from sesamectl.burn_page import burn_html, burn_text
from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.commands.figures import figure
from sesamectl.log_lines import opened_logs

PERCENT = 100


@COMMANDS.register('burn')
def burn(arguments: Arguments) -> str:
    """Read the logs of all front processes; print a table or write a page."""
    objective = figure(arguments, '--objective', PERCENT) / PERCENT
    window_s = figure(arguments, '--window', math.inf)
    with opened_logs(arguments['--logs'], arguments['--account']) as logs:
        burns = read_burn(logs, window_s)
    if not burns:
        return 'no line of the logs tells the end of a request'
    if arguments['--html']:
        Path(arguments['--html']).write_text(burn_html(burns, objective, window_s), encoding='utf-8')
    return burn_text(burns, objective)


__all__ = ('burn',)
