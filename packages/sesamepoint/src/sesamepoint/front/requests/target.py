"""The runner of an attempt, and what is sent to it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint.front.runners.send_check import SendKind, SendPurpose

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.platform.headers import AttemptHeaders


class Target(NamedTuple):
    """The runner of an attempt, how long it may stay silent, and callbacks.

    Parameters
    ----------
    silence_timeout_s
        Seconds until the first output, after which the attempt ends.
    on_first_output
        Called at the first output of the runner.
    on_pause
        Called with the seconds between two events.
    """

    member: Member
    sending: AttemptHeaders
    silence_timeout_s: float = math.inf
    on_first_output: Callable[[], None] | None = None
    on_pause: Callable[[float], None] | None = None
    purpose: SendPurpose = SendPurpose(SendKind.run)


__all__ = ('Target',)
