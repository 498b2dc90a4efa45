"""Tests of the search for sends of one request under several ids, by content id."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from sesamepoint import events
from sesamectl.cli import main
from sesamectl.content_search import find_part, find_sends
from tests.ctl.builders import end_line, log_line


def broken_send_line(request: str, runner: str, second: int, content_id: str = 'c1') -> str:
    """Return the log line of a send that broke off."""
    return log_line(
        events.ATTEMPT_ENDED,
        second,
        request=request,
        runner=runner,
        outcome='broken',
        cause='reset',
        content=content_id,
        under_way_ms=90,
        beside=3,
    )


def logs() -> list[str]:
    """Return log lines of two attempts with one request, of two sends each, and of another request."""
    return [
        broken_send_line('again', 'i-9', 12),
        broken_send_line('first', 'i-7', 10),
        broken_send_line('first', 'i-8', 11),
        end_line('first', 11, content='c1', status=502, cause='runner_broke_off'),
        broken_send_line('other', 'i-7', 10, content_id='c2'),
        broken_send_line('again', 'i-7', 13),
    ]


class ContentSearchTest(TestCase):
    """Search by content id, over all request ids."""

    def test_in_order_of_time(self) -> None:
        *lines, total = find_sends('c1', logs())
        self.assertEqual([found.split()[3] for found in lines], ['first:', 'first:', 'first:', 'again:', 'again:'])
        self.assertEqual(total, '2 attempts of callers; 3 runners broke off under it: i-7, i-8, i-9')

    def test_broken_send_described(self) -> None:
        self.assertIn('i-7, reset, after 90 ms, beside 3 others of this instance', find_sends('c1', logs())[0])

    def test_unknown(self) -> None:
        self.assertEqual(find_sends('c3', logs()), ['0 attempts of callers; 0 runners broke off under it'])

    def test_command(self) -> None:
        with TemporaryDirectory() as folder:
            source = Path(folder, 'front.log')
            source.write_text('\n'.join(logs()), encoding='utf-8')
            self.assertEqual(main(['explain', '--content', 'c1', '--logs', str(source)]), 0)

    def test_part(self) -> None:
        """Guards against an operator who can't tell which requests a harmful part was in, and what became of them."""
        lines = [
            log_line(events.PART_QUARANTINED, 14, part='p1', group=[], runners=['i-7']),
            log_line(events.ATTEMPT_ENDED, 12, request='first', runner='i-7', outcome='broken', parts=['f', 'p1']),
            log_line(events.ATTEMPT_ENDED, 13, request='other', runner='i-8', outcome='broken', parts=['f']),
            end_line('late', 15, content='c9', status=503, cause='ends_its_runners', parts=['p1', 'f']),
        ]
        *found, total = find_part('p1', lines)
        self.assertEqual(len(found), 3)
        self.assertIn('ends_its_runners', found[-1])
        self.assertEqual(total, '2 attempts of callers; 1 runners broke off under it: i-7')
