"""``sesamectl loss``: worth and callers' time lost by requests not answered on time."""

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
    """Return tables of the losses in the logs; also write a page if asked to."""
    late_share = figure(arguments, '--late-share', 1)
    window_s = figure(arguments, '--window', math.inf)
    with opened_logs(arguments['--logs'], arguments['--account']) as logs:
        requests = read_ended(logs)
    if not requests.ended:
        return '\n'.join(['no log line records the end of a request', *requests.notes()])
    losses = find_loss(requests.ended, late_share)
    errors = wait_errors(requests.ended)
    text = loss_text(losses, errors, requests, window_s)
    if arguments['--html']:
        Path(arguments['--html']).write_text(loss_html(losses, text, window_s), encoding='utf-8')
    return text


__all__ = ('loss',)
