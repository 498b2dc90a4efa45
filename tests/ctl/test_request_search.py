"""Tests of the search for requests by caller, without their ids."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from sesamectl.cli import main
from sesamectl.ended_requests import read_ended_requests
from sesamectl.request_search import RequestFilter, find_requests
from tests.ctl.builders import RUNNER, end_line

CALLER = '10.2.0.7'


def logs() -> list[str]:
    """Return log lines of a caller: a request that was cut off, its retry, and others."""
    cut = end_line('first', second=10, caller=CALLER, status=502, on_time=False, cause='runner_broke_off')
    retry = end_line('second', second=14, caller=CALLER, returned=True, on_time=False)
    refused = end_line(
        'refused', second=15, caller=CALLER, status=503, on_time=False, cause='refused', sends=0, runners=[]
    )
    card = end_line('card', second=11, caller=CALLER, route='cards')
    return [retry, card, cut, refused, end_line('other', second=10, caller='10.2.0.8')]


def find_own_requests(**changes: object) -> list[str]:
    """Return the requests found for the caller."""
    return find_requests(RequestFilter(CALLER, **changes), read_ended_requests(logs()).ended)  # type: ignore[arg-type]


class RequestSearchTest(TestCase):
    """Search by address, route and time."""

    def test_in_order_of_time(self) -> None:
        found = find_own_requests(route='verdicts')
        self.assertEqual([line.split()[2] for line in found], ['first', 'second', 'refused'])

    def test_whether_it_ran(self) -> None:
        """A cut-off request may have run, a whole answer did run, a refused request did not."""
        first, second, refused = find_own_requests(route='verdicts')
        self.assertIn(f'at {RUNNER}; it may have run', first)
        self.assertIn('it ran, and the whole answer was sent', second)
        self.assertIn('it has not run, and never will', refused)

    def test_by_time(self) -> None:
        found = find_own_requests(ended_s=8 * 3600 + 10, within_s=2)
        self.assertEqual([line.split()[2] for line in found], ['first', 'card'])

    def test_command(self) -> None:
        with TemporaryDirectory() as folder:
            source = Path(folder, 'front.log')
            source.write_text('\n'.join(logs()), encoding='utf-8')
            args = ['explain', '--caller', CALLER, '--at', '08:00:10', '--logs', str(source)]
            self.assertEqual(main(args), 0)
            self.assertEqual(main([*args[:4], 'noon', *args[5:]]), 2)
