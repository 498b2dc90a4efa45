"""Tests of the catalogue of log events."""

from __future__ import annotations

import logging
from pathlib import Path
from unittest import TestCase

from sesamepoint import events

CATALOGUE = Path(__file__).parents[2] / 'docs' / 'EVENTS.md'


class CatalogueTest(TestCase):
    """The page docs/EVENTS.md lists the same events as the code."""

    def test_page_lists_all_events(self) -> None:
        listed = [line for line in CATALOGUE.read_text(encoding='utf-8').splitlines() if line[2:3].isdigit()]
        known = [events.EVENTS.get(name) for name in events.EVENTS]
        rows = [f'| {event.number} | {logging.getLevelName(event.level).lower()} | {event.text} |' for event in known]
        self.assertEqual(listed, rows)
