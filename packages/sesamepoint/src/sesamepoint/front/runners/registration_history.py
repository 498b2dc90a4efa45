"""What earlier registrations of runners said, for registrations that arrive late."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.runner_status.list_currency import ListCurrency
from sesamepoint_core.runner_status.presence import Presence
from sesamepoint import events
from sesamepoint.front.runners.status_sources import FROM_REGISTRATION

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.address import Address
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.runners.runner_status import RunnerStatuses

# Number of runners whose newest incarnation, or whose removal, is remembered, so that a late message
# does not bring back what has gone. A day has some hundred.
REMEMBERED_INCARNATIONS = 4096
# So many removals at most are sent to an instance that registers. Where more registrations have lapsed the store
# was away, and all instances send to each other when their own registrations are back.
MAX_SENT_REMOVALS = 16
# Instances that register are sent the removals of so many seconds before. The store carries out
# a late write within some seconds.
RECENT_S = 10.0


class _Removal(NamedTuple):
    # None if a peer reported the removal.
    address: Address | None
    presence: Presence


class RegistrationHistory:
    """The newest start of each runner, which incarnations have drained, and which were removed.

    Of two registrations of one runner the one that arrives last is not always the one that was written last: the store
    may carry a heartbeat out seconds late, and a peer or a restored copy of the store may bring an older one.
    """

    def __init__(self, statuses: RunnerStatuses, now: Callable[[], float], longest_gap_s: float) -> None:
        """Start without registrations; that an incarnation drains is kept with its other ``statuses``.

        The list of runners is read at least once in ``longest_gap_s`` seconds while the store answers.
        """
        self.currency = ListCurrency(longest_gap_s)
        self.confirmations = 0
        # Called when a returned runner is used again.
        self.on_confirmed: Callable[[], None] | None = None
        self._statuses = statuses
        self._now = now
        self._newest_born_ms: dict[str, int] = {}
        self._removals: dict[Incarnation, _Removal] = {}
        self._confirmed_at: dict[Incarnation, float] = {}
        # Unbounded: each entry is a member that was removed before.
        self._back = trio.open_memory_channel['Member'](math.inf)
        # Unbounded: each entry is a registered member.
        self._missing = trio.open_memory_channel['Member'](math.inf)

    def newest_start_ms(self, key: str) -> int:
        """Return the latest known start of the runner ``key``, in milliseconds; 0 if none is known."""
        return self._newest_born_ms.get(key, 0)

    def note_current(self, _by_store: bool) -> bool:
        """Note that the list of runners is current, by the store itself or by a peer that follows it."""
        self.currency.note_current(self._now())
        return True

    def note(self, member: Member) -> None:
        """Remember what the registration of ``member`` says.

        An incarnation that has said ``draining`` never serves again, whatever its later registrations say. Requests
        went to a runner that was about to exit, after the store had carried out a heartbeat from before the notice.
        """
        runner = member.runner
        self._newest_born_ms.pop(runner.key, None)
        self._newest_born_ms[runner.key] = runner.born_ms
        drop_oldest(self._newest_born_ms, REMEMBERED_INCARNATIONS)
        if runner.draining:
            self._statuses.note_draining(member.incarnation, FROM_REGISTRATION, 0)
        removal = self._removals.get(member.incarnation)
        if removal is not None and removal.address in {None, runner.address}:
            member.presence = removal.presence
        if member.presence.note_back(self._now()):
            self._await_confirmation(member)

    def note_removed(self, member: Member, grace_s: float) -> None:
        """Note that a registration was removed; its runner is used for the grace period of ``grace_s`` seconds."""
        if member.presence.note_removed(self._now(), grace_s):
            removal = _Removal(member.runner.address, member.presence)
            self._removals.pop(member.incarnation, None)
            self._removals[member.incarnation] = removal
            drop_oldest(self._removals, REMEMBERED_INCARNATIONS)

    def note_removed_elsewhere(self, incarnation: Incarnation, member: Member | None) -> None:
        """Take in a removal that a peer has seen, and this instance perhaps not; ``member`` is the runner if known."""
        if self._now() - self._confirmed_at.get(incarnation, -math.inf) < RECENT_S:
            return
        if incarnation in self._removals:
            return
        presence = Presence()
        presence.note_removed(self._now(), 0)
        self._removals[incarnation] = _Removal(None, presence)
        drop_oldest(self._removals, REMEMBERED_INCARNATIONS)
        if member is not None:
            self.note(member)

    def recently_removed(self) -> list[Incarnation]:
        """Return the incarnations that were removed lately, and are not confirmed since; none if they are many."""
        since = self._now() - RECENT_S
        found = [one for one, removal in self._removals.items() if (removal.presence.removed_at or 0) > since]
        return found if len(found) <= MAX_SENT_REMOVALS else []

    async def next_returned(self) -> Member:
        """Wait for a member whose registration has come back."""
        return await self._back[1].receive()

    def note_missing(self, member: Member) -> None:
        """Note that a restored copy of the store lacks a registration: it is too old, or the runner has left."""
        self._missing[0].send_nowait(member)

    async def next_missing(self) -> Member:
        """Wait for a member whose registration a restored copy of the store lacks."""
        return await self._missing[1].receive()

    def confirm(self, member: Member, evidence: str) -> None:
        """Use a member again whose registration has come back, since ``evidence`` shows that it serves."""
        presence = member.presence
        if not presence.unconfirmed:
            return
        events.log_event(
            events.RETURN_CONFIRMED,
            runner=member.runner.key,
            born_ms=member.runner.born_ms,
            evidence=evidence,
            removed_s=round(self._now() - (presence.removed_at or 0), 3),
            waited_s=round(self._now() - (presence.back_at or 0), 3),
        )
        presence.confirm()
        self.confirmations += 1
        self._removals.pop(member.incarnation, None)
        self._confirmed_at.pop(member.incarnation, None)
        self._confirmed_at[member.incarnation] = self._now()
        drop_oldest(self._confirmed_at, REMEMBERED_INCARNATIONS)
        if self.on_confirmed is not None:
            self.on_confirmed()

    def _await_confirmation(self, member: Member) -> None:
        events.log_event(
            events.RUNNER_REGISTERED_AGAIN,
            runner=member.runner.key,
            born_ms=member.runner.born_ms,
            sequence=member.runner.sequence,
            removed_s=round(self._now() - (member.presence.removed_at or 0), 3),
        )
        self._back[0].send_nowait(member)


__all__ = ('RegistrationHistory',)
