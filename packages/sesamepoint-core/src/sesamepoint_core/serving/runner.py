"""A runner as it registers itself."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sesamepoint_core.serving.address import Address


class Stage(Enum):
    """What an engine does: read prompts, or generate answers too."""

    prefill = 'prefill'
    decode = 'decode'
    plain = 'plain'


class Runner(NamedTuple):
    """One registered incarnation of a runner.

    Parameters
    ----------
    key
        Names this incarnation; a restart has another.
    leaving
        Whether it has said that it will stop.
    """

    key: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    stage: Stage


__all__ = ('Runner', 'Stage')
