"""``sesamectl loss``: where callers' time and the worth of requests went."""

from __future__ import annotations

import math
from pathlib import Path

from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.commands.figures import figure
from sesamectl.ended import read_ended
from sesamectl.log_lines import opened_logs
from sesamectl.loss import find_loss
from sesamectl.loss_page import loss_html
from sesamectl.loss_text import loss_text
from sesamectl.waits import wait_errors


@COMMANDS.register('loss')
def loss(arguments: Arguments) -> str:
    """Read the logs of all front processes; print tables or write a page too."""
    late_share = figure(arguments, '--late-share', 1)
    window_s = figure(arguments, '--window', math.inf)
    with opened_logs(arguments['--logs'], arguments['--account']) as logs:
        read = read_ended(logs)
    if not read.ended:
        return '\n'.join(['no line of the logs tells the end of a request', *read.notes()])
    found = find_loss(read.ended, late_share)
    errors = wait_errors(read.ended)
    text = loss_text(found, errors, read, window_s)
    if arguments['--html']:
        Path(arguments['--html']).write_text(loss_html(found, text, window_s), encoding='utf-8')
    return text


__all__ = ('loss',)
