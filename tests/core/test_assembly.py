"""Assembly of answers from chunks."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepoint_core.answer.assembly import Assembler


class AssemblerTest(TestCase):
    """Chunks that are delayed, duplicated or out of order."""

    @settings(derandomize=True, database=None)
    @given(st.integers(1, 12).flatmap(lambda total: st.lists(st.integers(0, total - 1), max_size=40)))
    def test_push_any_order(self, numbers: list[int]) -> None:
        assembler = Assembler()
        released = [chunk for number in numbers for chunk in assembler.push(number, b'%d' % number)]
        missing = next(number for number in range(len(numbers) + 1) if number not in numbers)
        self.assertEqual(released, [b'%d' % number for number in range(missing)])

    def test_complete_needs_counted_end(self) -> None:
        # The stream closes after two of three chunks. Without the number of chunks
        # the caller would take them for the whole answer.
        assembler = Assembler()
        assembler.push(0, b'a')
        assembler.push(1, b'b')
        self.assertFalse(assembler.complete)
        assembler.expect_total(3)
        self.assertFalse(assembler.complete)
        assembler.push(2, b'c')
        self.assertTrue(assembler.complete)
