"""What a copy of the store that is older than what is known says about runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.fleet_member import Member


def apply_restored(fleet: Fleet, runners: Iterable[Runner]) -> None:
    """Apply the list of ``runners`` of a restored copy.

    That a runner drains never ends, however old the copy is. Other statements of known runners are not applied.
    """
    listed = {runner.key: runner for runner in runners}
    for member in tuple(fleet.members.values()):
        copied = listed.get(member.runner.key)
        if copied is None:
            _note_missing(fleet, member)
        elif copied.draining:
            fleet.update(copied)


def _note_missing(fleet: Fleet, member: Member) -> None:
    """Have a runner that the copy lacks checked: the copy is too old, or the runner has left just after the restore."""
    if member.presence.registered:
        fleet.history.note_missing(member)
    else:
        fleet.note_unregistered(member.runner.key)


__all__ = ('apply_restored',)
