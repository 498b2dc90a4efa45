"""Faulty variants of how registrations that arrive late are taken."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.front.runners.runner_status import RunnerStatuses
from sesamepoint.front.runners.status_sources import FROM_REGISTRATION

if TYPE_CHECKING:
    from sesamepoint_core.runner_status.presence import Presence
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.runners.gap_questions import GapQuestions
    from sesamepoint.front.runners.registration_history import RegistrationHistory

_note_draining = RunnerStatuses.note_draining


def note_from_answers_only(statuses: RunnerStatuses, incarnation: Incarnation, source: str, age_s: float) -> bool:
    """Forget that a registration said ``draining``; what answers say is kept."""
    return source != FROM_REGISTRATION and _note_draining(statuses, incarnation, source, age_s)


def take_at_once(presence: Presence, now: float) -> bool:
    """Take a registration that is back for one of a runner that serves."""
    presence.confirm()
    return False


def ask_nobody(_: GapQuestions) -> None:
    """Ask no peer after a gap."""


def do_nothing(_: RegistrationHistory, member: Member) -> None:
    """Check no runner that a restored copy of the store lacks."""


__all__ = ('ask_nobody', 'do_nothing', 'note_from_answers_only', 'take_at_once')
