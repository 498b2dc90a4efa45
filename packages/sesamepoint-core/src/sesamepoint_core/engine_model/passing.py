"""Slowness of single engines that passes, as opposed to what a load does to all of them."""

from __future__ import annotations

import math

# An engine whose short-term factor is this many times that of the others of its service
# was disturbed by something of its own. Equal engines under the same load differ by less.
MAX_USUAL_RATIO = 1.3
# What exceeds that is forgotten in this many seconds. Engines become slow for some hundred
# milliseconds at a time; the seconds are for the queue that builds up meanwhile.
EXCESS_DECAY_S = 5.0


def excess_decay(factor: float, usual: float, passed_s: float) -> float:
    """Return what to multiply a short-term factor by after ``passed_s`` seconds; 1 if it is a usual one.

    Parameters
    ----------
    usual
        Short-term factor of the median engine of its service and stage.
    """
    log_ratio = math.log(factor / usual)
    excess = abs(log_ratio) - math.log(MAX_USUAL_RATIO)
    if excess <= 0:
        return 1
    faded = excess * (1 - math.exp(-passed_s / EXCESS_DECAY_S))
    return math.exp(-math.copysign(faded, log_ratio))


__all__ = ('EXCESS_DECAY_S', 'MAX_USUAL_RATIO', 'excess_decay')
