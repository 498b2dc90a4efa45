"""Presence of an incarnation in the list of runners."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.runner_status.presence import Presence

GRACE_S = 1.0


class PresenceTest(TestCase):
    """Removals, returns and confirmations, in each order."""

    def setUp(self) -> None:
        """Start with a registration that was removed at 0."""
        self.presence = Presence()
        self.presence.note_removed(0, GRACE_S)

    def test_used_in_grace_period_only(self) -> None:
        """Guards against a runner that is used for longer than the grace period of its removal."""
        self.assertFalse(self.presence.lapsed(GRACE_S))
        self.assertTrue(self.presence.gone(GRACE_S + 0.1))

    def test_return_does_not_lengthen_grace_period(self) -> None:
        """Guards against removals and returns in turn, each of which would start a grace period."""
        self.assertTrue(self.presence.note_back(0.5))
        self.assertFalse(self.presence.note_removed(0.9, GRACE_S))
        self.assertTrue(self.presence.lapsed(1.1))

    def test_back_is_kept_but_not_used(self) -> None:
        """Guards against a returned runner that is forgotten before it could show that it serves."""
        self.presence.note_back(0.5)
        self.assertTrue(self.presence.lapsed(2))
        self.assertFalse(self.presence.gone(2))

    def test_confirmed(self) -> None:
        """Guards against a confirmed runner that counts as removed."""
        self.presence.note_back(0.5)
        self.presence.confirm()
        self.assertTrue(self.presence.registered)
        self.assertFalse(self.presence.lapsed(9))
        self.assertFalse(self.presence.note_back(9))

    def test_second_removal_after_confirmation(self) -> None:
        """Guards against a removal that is not counted since there was one before."""
        self.presence.confirm()
        self.assertTrue(self.presence.note_removed(5, GRACE_S))
        self.assertFalse(self.presence.lapsed(5.5))
