"""``sesamectl loss``: worth and callers' time lost by requests not answered on time."""

from __future__ import annotations

import math
from pathlib import Path

from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.commands.number_options import number_option
from sesamectl.ended_requests import read_ended_requests
from sesamectl.log_lines import open_logs
from sesamectl.loss_analysis import find_loss
from sesamectl.loss_page import loss_html
from sesamectl.loss_text import loss_text
from sesamectl.wait_estimates import wait_errors


@COMMANDS.register('loss')
def loss(arguments: Arguments) -> str:
    """Return tables of the losses in the logs; also write a page if asked to."""
    late_share = number_option(arguments, '--late-share', 1)
    window_s = number_option(arguments, '--window', math.inf)
    with open_logs(arguments['--logs'], arguments['--account']) as logs:
        requests = read_ended_requests(logs)
    if not requests.ended:
        return '\n'.join(['no log line records the end of a request', *requests.notes()])
    losses = find_loss(requests.ended, late_share)
    errors = wait_errors(requests.ended)
    text = loss_text(losses, errors, requests, window_s)
    if arguments['--html']:
        Path(arguments['--html']).write_text(loss_html(losses, text, window_s), encoding='utf-8')
    return text


__all__ = ('loss',)
