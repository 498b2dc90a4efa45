"""``sesamectl burn``: burn rates of routes against their objective, over time."""

from __future__ import annotations

import math
from pathlib import Path

from sesamectl.burn_rate import read_burn_rates
from sesamectl.burn_report import burn_html, burn_text
from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.commands.number_options import number_option
from sesamectl.log_lines import open_logs

PERCENT = 100


@COMMANDS.register('burn')
def burn(arguments: Arguments) -> str:
    """Return a table of the burn rates in the logs; also write a page if asked to."""
    objective = number_option(arguments, '--objective', PERCENT) / PERCENT
    window_s = number_option(arguments, '--window', math.inf)
    with open_logs(arguments['--logs'], arguments['--account']) as logs:
        burns = read_burn_rates(logs, window_s)
    if not burns:
        return 'no log line records the end of a request'
    if arguments['--html']:
        Path(arguments['--html']).write_text(burn_html(burns, objective, window_s), encoding='utf-8')
    return burn_text(burns, objective)


__all__ = ('burn',)
