"""Choice of a plain runner from what is known of its load and failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.fleet_health.plain_placement import PLACEMENT_METHODS, PlainCandidate

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sesamepoint.front.runners.fleet_member import Member

# A runner in another zone counts as if it had this many more requests in flight.
# Crossing zones costs 1.5 ms each way; a request takes tens of milliseconds.
ZONE_PENALTY_REQUESTS = 0.5


class PlainChoice:
    """Chooses plain runners by one of the registered methods."""

    def __init__(self, availability_zone: str, rng: Random, method: str = 'shared') -> None:
        """Choose for an instance in ``availability_zone``.

        Raises
        ------
        UnknownNameError
            If there is no such method.
        """
        self._availability_zone = availability_zone
        self._rng = rng
        self._method = PLACEMENT_METHODS.get(method)

    def choose(self, members: Sequence[Member], lost_cost_s: float) -> Member | None:
        """Return the runner to send a request to; None if there is none.

        Parameters
        ----------
        lost_cost_s
            Cost of a lost answer, in seconds of waiting.
        """
        if not members:
            return None
        now = trio.current_time()
        by_key = {member.runner.key: member for member in members}
        chosen = self._method([self._candidate(member, now) for member in members], lost_cost_s, self._rng)
        return by_key[chosen.runner]

    def _candidate(self, member: Member, now: float) -> PlainCandidate:
        runner, health = member.runner, member.health
        penalty = 0 if runner.zone == self._availability_zone else ZONE_PENALTY_REQUESTS
        return PlainCandidate(
            runner.key,
            runner.slots,
            member.in_flight + penalty,
            health.peers.in_flight(now),
            health.failures.expected(now),
            health.own.response_s or health.peers.response_s(now),
        )


__all__ = ('PlainChoice',)
