"""The parts of the soak: each causes faults of one kind and judges what became of them."""

from __future__ import annotations

from tests.front.soak_limits import SoakLimits
from tests.front.soak_odd_values import SoakOddValues
from tests.front.soak_registrations import SoakRegistrations
from tests.front.soak_repeats import SoakRepeats
from tests.front.soak_runner_status import Disturbance, SoakRunnerStatus
from tests.front.soak_streams import SoakStreams

__all__ = (
    'Disturbance',
    'SoakLimits',
    'SoakOddValues',
    'SoakRegistrations',
    'SoakRepeats',
    'SoakRunnerStatus',
    'SoakStreams',
)
