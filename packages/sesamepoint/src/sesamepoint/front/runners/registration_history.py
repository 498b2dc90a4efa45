"""What earlier registrations of runners said, for registrations that arrive late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint.front.runners.status_sources import FROM_REGISTRATION

if TYPE_CHECKING:
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.runners.runner_status import RunnerStatuses

# Number of runners whose newest incarnation is remembered, also after they have gone, so
# that a late message about an earlier one does not bring it back. A day has some hundred.
REMEMBERED_INCARNATIONS = 4096


class RegistrationHistory:
    """The newest start of each runner, and which incarnations have drained.

    Of two registrations of one runner the one that arrives last is not always the one that was written last: the store
    may carry a heartbeat out seconds late, and a peer or a restored copy of the store may bring an older one.
    """

    def __init__(self, statuses: RunnerStatuses) -> None:
        """Start without registrations; that an incarnation drains is kept with its other ``statuses``."""
        self._statuses = statuses
        self._newest_born_ms: dict[str, int] = {}

    def newest_start_ms(self, key: str) -> int:
        """Return the latest known start of the runner ``key``, in milliseconds; 0 if none is known."""
        return self._newest_born_ms.get(key, 0)

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


__all__ = ('RegistrationHistory',)
