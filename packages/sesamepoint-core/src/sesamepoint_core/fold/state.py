"""State that is folded from the control log, the same for all readers of a prefix."""

from __future__ import annotations

from typing import NamedTuple

NO_OFFSET = -1
DEFAULT_PRESET = 'ordinary'
NO_CONFIGURATION = b'null'


class Lease(NamedTuple):
    """Lease and its current holder.

    Parameters
    ----------
    holder
        Incarnation of the process that claimed it.
    fence
        Offset of the claim: the fencing number of all orders under it.
    renewed
        Offset of the newest renewal, or of the claim if there is none.
    """

    holder: str
    fence: int
    renewed: int


class StandingOrder(NamedTuple):
    """Newest accepted order for one runner, done or not."""

    offset: int
    fleet: str
    role: str
    fence: int
    version: int
    reason: str
    done: bool
    found_role: str


class Change(NamedTuple):
    """One accepted change of configuration or preset, shown to operators."""

    version: int
    offset: int
    operator: str
    what: str


class State(NamedTuple):
    """State after all records up to and including ``offset``.

    Parameters
    ----------
    offset
        Offset of the last record.
    version
        Configuration version; it grows with each accepted change.
    preset
        Name of the preset in force.
    configuration
        JSON document in force.
    leases
        Lease by name.
    orders
        Newest order by runner.
    writers
        Newest serial of each writer and the offset of its record.
    changes
        The newest accepted changes, oldest first.
    """

    offset: int = NO_OFFSET
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


__all__ = ('DEFAULT_PRESET', 'NO_CONFIGURATION', 'NO_OFFSET', 'Change', 'Lease', 'StandingOrder', 'State')
