"""Which rows are due at which peer."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.engine_model.publication import REFRESH_S, Publication
from sesamepoint_core.serving.poison_requests import Incarnation
from tests.core.engine_model.builders import prefill_report

ENGINE = Incarnation('e', 1)


class PublicationTest(TestCase):
    """Only what has changed is sent."""

    def test_rows_unchanged(self) -> None:
        """Guards against rows that are sent again with each sample."""
        publication = Publication()
        publication.update(ENGINE, prefill_report(1), 1)
        self.assertEqual(publication.due_rows('a'), [ENGINE])
        publication.note_sent('a', 2)
        publication.update(ENGINE, prefill_report(1.01), 3)
        self.assertEqual(publication.due_rows('a'), [])

    def test_rows_changed(self) -> None:
        """Guards against peers that do not receive a change, or of a row that would expire."""
        publication = Publication()
        publication.update(ENGINE, prefill_report(1), 1)
        publication.note_sent('a', 2)
        publication.update(ENGINE, prefill_report(1.2), 3)
        self.assertEqual(publication.due_rows('a'), [ENGINE])
        publication.note_sent('a', 4)
        publication.update(ENGINE, prefill_report(1.2), 4 + REFRESH_S)
        self.assertEqual(publication.due_rows('a'), [ENGINE])

    def test_rows_joined_peer(self) -> None:
        """Guards against a peer that has restarted and receives later changes only."""
        publication = Publication()
        publication.update(ENGINE, prefill_report(1), 1)
        publication.note_sent('a', 2)
        publication.note_joined('a')
        self.assertEqual(publication.due_rows('a'), [ENGINE])

    def test_rows_gone(self) -> None:
        """Guards against rows of engines that are gone."""
        publication = Publication()
        publication.update(ENGINE, prefill_report(1), 1)
        publication.keep_only([], ['a'])
        self.assertEqual(publication.due_rows('a'), [])
