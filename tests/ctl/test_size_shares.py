"""Tests of the shares of served callers by size."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any
from unittest import TestCase

from sesamectl.ended_requests import read_ended_requests
from sesamectl.size_shares import size_shares
from tests.ctl.builders import end_line

if TYPE_CHECKING:
    from collections.abc import Mapping

SMALL = 14
_REFUSED: Mapping[str, Any] = MappingProxyType(
    {'on_time': False, 'status': 503, 'refused': True, 'cause': 'refused', 'sends': 0}
)
TOKENS_EACH = 1000


class SizeSharesTest(TestCase):
    """Callers of one route, of which the largest are refused."""

    def test_shares_largest_refused(self) -> None:
        """Guards against a report in which refused large requests vanish among many small ones."""
        lines = [
            end_line(f'r{number}', second=number, tokens=TOKENS_EACH * number, content=f'c{number}')
            for number in range(1, SMALL + 5)
        ]
        lines += [
            end_line(f'large{number}', second=30, tokens=40 * TOKENS_EACH, content=f'l{number}', **_REFUSED)
            for number in range(2)
        ]
        shares = {
            row.part: (row.callers, row.served, row.refused) for row in size_shares(read_ended_requests(lines).ended)
        }
        self.assertEqual(shares, {'largest_tenth': (2, 0, 2), 'fifth_below': (4, 4, 0), 'others': (SMALL, SMALL, 0)})

    def test_shares_caller_that_returned(self) -> None:
        """Guards against counting a caller twice that was refused and served when it came back."""
        lines = [
            end_line('first', second=1, tokens=TOKENS_EACH, content='c', **_REFUSED),
            end_line('second', second=2, tokens=TOKENS_EACH, content='c', returned=True),
        ]
        row = size_shares(read_ended_requests(lines).ended)[0]
        self.assertEqual((row.callers, row.served, row.refused), (1, 1, 1))
