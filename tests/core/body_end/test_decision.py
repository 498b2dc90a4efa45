"""Decision whether a body is whole.

A runner closed the connection of a stream with neither a length nor chunks inside an event. The close was taken
for the end of the answer, which the instance then framed as complete.
"""

from __future__ import annotations

import ast
from itertools import product
from pathlib import Path
from unittest import TestCase

import sesamepoint
import sesamepoint_core
from sesamepoint_core.body_end.body_facts import BodyFacts, BodyKind, Framing, ReadEnd
from sesamepoint_core.body_end.decision import BreakCause, BrokenOff, Complete, Unmarked, decide_end, settle

MARKED = (Framing.empty, Framing.length, Framing.chunked)
BROKEN_CONNECTIONS = (ReadEnd.reset, ReadEnd.timed_out, ReadEnd.malformed)


class DecisionTest(TestCase):
    """How a body ended, for each framing and each end of its connection."""

    def test_broken_connection(self) -> None:
        """Guards against a body that is taken for whole although its connection was reset, even after all bytes."""
        for kind, framing, read_end in product(BodyKind, Framing, BROKEN_CONNECTIONS):
            end = decide_end(BodyFacts(kind, framing, read_end, whole_events=3))
            self.assertEqual(_cause_of(end), BreakCause.connection, end)

    def test_closed_before_marked_end(self) -> None:
        """Guards against a close that is taken for the end of a body with a length or chunks."""
        for kind, framing in product(BodyKind, MARKED):
            end = decide_end(BodyFacts(kind, framing, ReadEnd.closed, whole_events=3))
            self.assertEqual(_cause_of(end), BreakCause.connection, end)

    def test_end_inside_event(self) -> None:
        """Guards against an end inside an event that is taken for the end of a stream, whatever marks it."""
        ends = ((Framing.until_close, ReadEnd.closed), *((framing, ReadEnd.last_byte) for framing in Framing))
        for framing, read_end in ends:
            end = decide_end(BodyFacts(BodyKind.events, framing, read_end, 3, 1))
            self.assertEqual(_cause_of(end), BreakCause.inside_event, end)

    def test_closed_without_mark(self) -> None:
        """Guards against a body that is called complete, or broken off, although nothing tells which."""
        for kind in BodyKind:
            end = decide_end(BodyFacts(kind, Framing.until_close, ReadEnd.closed))
            self.assertIsInstance(end, Unmarked, end)

    def test_event_too_long(self) -> None:
        """Guards against an event beyond the limit that is taken for an end."""
        for framing in Framing:
            end = decide_end(BodyFacts(BodyKind.events, framing, ReadEnd.given_up, 3, 17))
            self.assertEqual(_cause_of(end), BreakCause.event_too_long, end)

    def test_unmarked_end_of_ended_sender(self) -> None:
        """Guards against a body that is believed although its sender's process ended with it."""
        for kind in BodyKind:
            end = settle(_unmarked(kind, whole_events=3), sender_ended=True)
            self.assertEqual(_cause_of(end), BreakCause.sender_ended, end)

    def test_unmarked_end_of_living_sender(self) -> None:
        """Guards against a body that is not believed although nothing speaks against it."""
        for kind in BodyKind:
            self.assertIsInstance(settle(_unmarked(kind, whole_events=3), sender_ended=False), Complete)

    def test_unmarked_end_before_first_event(self) -> None:
        """Guards against a stream without any event that is believed to be whole."""
        end = settle(_unmarked(BodyKind.events, whole_events=0), sender_ended=False)
        self.assertEqual(_cause_of(end), BreakCause.no_event, end)

    def test_marked_end(self) -> None:
        """Guards against a whole body that is not recognized."""
        for kind, framing in product(BodyKind, Framing):
            end = decide_end(BodyFacts(kind, framing, ReadEnd.last_byte, whole_events=3))
            self.assertIsInstance(end, Complete, end)

    def test_no_other_place_decides(self) -> None:
        """Guards against code that calls a body complete by itself."""
        files = [path for package in (sesamepoint, sesamepoint_core) for path in _files_of(package.__path__[0])]
        creators = [path.name for path in files if _creates_complete(path)]
        self.assertEqual(creators, ['decision.py'])


def _unmarked(kind: BodyKind, whole_events: int) -> Unmarked:
    return Unmarked(BodyFacts(kind, Framing.until_close, ReadEnd.closed, whole_events))


def _cause_of(end: object) -> BreakCause | None:
    return end.cause if isinstance(end, BrokenOff) else None


def _files_of(package: str) -> list[Path]:
    return sorted(Path(package).rglob('*.py'))


def _creates_complete(path: Path) -> bool:
    calls = (node for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))) if isinstance(node, ast.Call))
    return any(isinstance(call.func, ast.Name) and call.func.id == Complete.__name__ for call in calls)
