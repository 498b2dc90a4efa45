"""What rate limits and the send check need to know of a runner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sesamepoint_core.runner_status.presence import Presence
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint_core.stream_origin.origin import StreamOrigin


class KnownRunner(Protocol):
    """One incarnation of a runner; :class:`~sesamepoint.front.runners.fleet_member.Member` implements it.

    Parameters
    ----------
    in_flight
        Requests of this instance that are in flight.
    answered
        Whether it has answered any request of this instance.
    closed
        Whether a newer incarnation has taken its place, or it was dropped from the fleet.
    replaced
        Whether another incarnation answers at its address.
    presence
        Whether its registration stands.
    """

    in_flight: int
    answered: bool
    closed: bool
    replaced: bool
    presence: Presence

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation."""

    @property
    def draining(self) -> bool:
        """Tell whether it is draining."""

    def of_origin(self, origin: StreamOrigin) -> bool:
        """Tell whether it may go on with streams of ``origin``."""


__all__ = ('KnownRunner',)
