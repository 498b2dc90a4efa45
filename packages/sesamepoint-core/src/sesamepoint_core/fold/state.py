"""What every process that folded the same prefix of the log knows."""

from __future__ import annotations

from typing import NamedTuple

NEVER = -1
DEFAULT_PRESET = 'ordinary'
NO_CONFIGURATION = b'null'


class Lease(NamedTuple):
    """Who may act for ``name``.

    Parameters
    ----------
    holder
        The incarnation that claimed it.
    fence
        Offset of the claim: the fencing number of all that it orders.
    renewed
        Offset of the claim or of the newest renewal.
    """

    holder: str
    fence: int
    renewed: int


class StandingOrder(NamedTuple):
    """The newest valid order for one runner."""

    offset: int
    fleet: str
    role: str
    fence: int
    version: int
    reason: str
    done: bool
    found_role: str


class Change(NamedTuple):
    """One accepted change of configuration or preset, for the operators."""

    version: int
    offset: int
    operator: str
    what: str


class State(NamedTuple):
    """The fold up to and including ``offset``."""

    offset: int = NEVER
    version: int = 0
    preset: str = DEFAULT_PRESET
    configuration: bytes = NO_CONFIGURATION
    leases: dict[str, Lease] = {}
    orders: dict[str, StandingOrder] = {}
    writers: dict[str, tuple[int, int]] = {}
    changes: tuple[Change, ...] = ()

    @classmethod
    def empty(cls) -> State:
        """Return the state before the first record."""
        return cls(leases={}, orders={}, writers={})


__all__ = ('DEFAULT_PRESET', 'NEVER', 'NO_CONFIGURATION', 'Change', 'Lease', 'StandingOrder', 'State')
