"""Tests of the reports on lost worth and on wait estimates."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from types import MappingProxyType
from typing import TYPE_CHECKING, Any
from unittest import TestCase

from sesamepoint import events
from sesamectl.cli import main
from sesamectl.ended_requests import EndedRequest, EndedRequests, read_ended_requests
from sesamectl.loss_analysis import find_loss, late_cause, size_band
from sesamectl.loss_page import loss_html
from sesamectl.loss_text import account_key, cause_key, instance_key, loss_text, route_key, runner_key
from sesamectl.wait_estimates import wait_errors
from tests.ctl.builders import end_line, log_line

if TYPE_CHECKING:
    from collections.abc import Mapping

LATE_SHARE = 0.3
REFUSED: Mapping[str, Any] = MappingProxyType(
    {'on_time': False, 'status': 503, 'refused': True, 'cause': 'refused', 'sends': 0}
)
LATE: Mapping[str, Any] = MappingProxyType({'on_time': False, 'first_total_ms': 900})


def logs() -> list[str]:
    """Return log lines: eight requests on time, one late, one refused, one left by its caller, one cut off."""
    found = [end_line(f'r{number}', second=number) for number in range(8)]
    found.append(end_line('late', second=11, held_ms=700, **LATE))
    found.append(end_line('refused', second=12, need='prefill', **REFUSED))
    found.append(end_line('left', second=13, on_time=False, status=0, cause='caller_left', took_ms=2000))
    found.append(end_line('cut', second=14, on_time=False, unfinished=True, cause='cut_in_answer'))
    return found


def one_request(**changes: Any) -> EndedRequest:
    """Return the decoded end of one request, with ``changes``."""
    return read_ended_requests([end_line('r', **changes)]).ended[0]


def report_text(ended_requests: EndedRequests) -> str:
    """Return the whole report as text, in windows of 10 s."""
    return loss_text(find_loss(ended_requests.ended, LATE_SHARE), wait_errors(ended_requests.ended), ended_requests, 10)


class LossTest(TestCase):
    """Causes and worth of losses."""

    def test_causes(self) -> None:
        """A late answer keeps a share of its worth; all other failures lose the whole."""
        sums = {
            found.name[0]: found
            for found in find_loss(read_ended_requests(logs()).ended, LATE_SHARE).grouped_by(cause_key)
        }
        self.assertAlmostEqual(sums['late: waiting at the entry'].worth, 0.7)
        self.assertAlmostEqual(sums['refused, short of prefill'].worth, 1)
        self.assertAlmostEqual(sums['caller left'].worth, 1)
        self.assertAlmostEqual(sums['caller left'].time_s, 2)
        self.assertAlmostEqual(sums['cut in answer'].worth, 1)
        self.assertEqual(len(sums), 4)

    def test_worth_by_size(self) -> None:
        """A large prompt is worth more than the mean; one without a size is worth the fixed share."""
        ended_requests = read_ended_requests(
            [
                end_line('small', tokens=900, answer_tokens=10),
                end_line('large', tokens=2900, answer_tokens=10, **LATE),
                end_line('unknown', tokens=0, answer_tokens=0, **REFUSED),
            ],
        )
        found = find_loss(ended_requests.ended, 0)
        worth = {lost.ended.request: lost.worth for lost in found.lost}
        self.assertAlmostEqual(worth['large'], 0.3 + 0.7 * 3000 / 2000)
        self.assertAlmostEqual(worth['unknown'], 0.3)

    def test_groups_by_runner_instance_account(self) -> None:
        """A request that was sent twice counts at its last runner; one that was never sent at none."""
        ended_requests = read_ended_requests(
            [
                end_line('twice', runners=['i-9', 'i-2'], account='harbor', **LATE),
                end_line('unsent', runners=[], **REFUSED),
            ],
        )
        found = find_loss(ended_requests.ended, 0)
        runners = {group.name[0] for group in found.grouped_by(runner_key)}
        self.assertEqual(runners, {'i-2', 'sent to no runner'})
        self.assertEqual([group.requests for group in found.grouped_by(instance_key)], [2])
        self.assertEqual({group.name for group in found.grouped_by(account_key)}, {('harbor',), ('no account',)})

    def test_account_table_without_accounts(self) -> None:
        """Guards against a table of accounts for a deployment that has none."""
        self.assertNotIn('by account', report_text(read_ended_requests(logs())))

    def test_late_cause(self) -> None:
        """The cause is what took most of the time until the first event."""
        self.assertEqual(
            late_cause(one_request(first_total_ms=900, held_ms=600, work_ms=200)), 'late: waiting at the entry'
        )
        self.assertEqual(late_cause(one_request(first_total_ms=900, held_ms=100, work_ms=700)), 'late: reading')
        self.assertEqual(
            late_cause(one_request(first_total_ms=900, held_ms=100, work_ms=100)), 'late: waiting at the engine'
        )
        moved = one_request(first_total_ms=900, held_ms=50, work_ms=200, prefill_ms=250)
        self.assertEqual(late_cause(moved), 'late: memory moved, second engine')
        self.assertEqual(late_cause(one_request(first_total_ms=100, pause_ms=400)), 'late: a pause in the answer')
        self.assertEqual(late_cause(one_request(first_total_ms=900, sends=2)), 'late: sent more than once')
        self.assertEqual(
            late_cause(one_request(first_total_ms=100, returned=True)), 'late: its caller had to come back'
        )
        self.assertEqual(late_cause(one_request(first_total_ms=None, took_ms=900)), 'late: slow answer')

    def test_second_refusal(self) -> None:
        """A refused retry has its own cause, since its caller won't retry again."""
        found = find_loss([one_request(returned=True, need='slot', **REFUSED)], LATE_SHARE)
        self.assertEqual(found.lost[0].cause, 'refused, short of slot, second time')

    def test_sizes(self) -> None:
        bands = [size_band(one_request(tokens=tokens)) for tokens in (0, 999, 4_000, 19_999, 20_000)]
        self.assertEqual(bands, ['no prompt', 'under 1k', '1k to 5k', '5k to 20k', '20k and more'])

    def test_routes_apart(self) -> None:
        ended_requests = read_ended_requests([*logs(), end_line('tag', route='tags', **REFUSED)])
        names = [found.name for found in find_loss(ended_requests.ended, LATE_SHARE).grouped_by(route_key)]
        self.assertIn(('tags', 'refused'), names)


class WaitsTest(TestCase):
    """Errors of wait estimates."""

    def test_errors_by_route_and_load(self) -> None:
        ended_requests = read_ended_requests(
            [
                end_line('right', wait_expected_ms=300, held_ms=390),
                end_line('longer', wait_expected_ms=300, held_ms=900),
                end_line('shorter', wait_expected_ms=300, held_ms=100),
                end_line('soon', wait_expected_ms=100, held_ms=110),
                end_line('refused', wait_expected_ms=5000, **REFUSED),
                end_line('at once'),
            ],
        )
        errors = wait_errors(ended_requests.ended)
        self.assertEqual(
            [(found.wait_band, found.requests) for found in errors], [('0.15 to 0.5 s', 3), ('under 0.15 s', 1)]
        )
        self.assertEqual((errors[0].right, errors[0].shorter, errors[0].longer), (1, 1, 1))
        self.assertEqual((errors[0].expected_ms, errors[0].actual_ms), (300, 390))


class BadLogsTest(TestCase):
    """Logs that are truncated, out of order, of other versions, or empty."""

    def test_order_does_not_matter(self) -> None:
        """The order of lines of several processes does not change the figures."""
        self.assertEqual(report_text(read_ended_requests(logs())), report_text(read_ended_requests(reversed(logs()))))

    def test_cut_off_line_noted(self) -> None:
        """A truncated last line is not counted, but noted."""
        ended_requests = read_ended_requests([*logs(), end_line('r99').rpartition(',')[0]])
        self.assertEqual(len(ended_requests.ended), len(logs()))
        self.assertIn('note: 1 left out: no log line, or one that was cut off', ended_requests.notes())

    def test_other_version_noted(self) -> None:
        """A line with an unknown cause, a wrong type or a bad time is not counted, but noted."""
        ended_requests = read_ended_requests(
            [*logs(), end_line('a', cause='a new cause'), end_line('b', held_ms='long'), end_line('c', asctime='now')]
        )
        self.assertEqual(len(ended_requests.ended), len(logs()))
        self.assertEqual(ended_requests.left_out['ends of requests as another version writes them'], 3)

    def test_repeated_end_noted(self) -> None:
        """Lines that occur twice are counted once."""
        ended_requests = read_ended_requests(logs() * 2)
        self.assertEqual(len(ended_requests.ended), len(logs()))
        self.assertEqual(ended_requests.left_out['ends of requests that were told twice'], len(logs()))

    def test_no_end_noted(self) -> None:
        """Requests without an end, as of a killed process, and suppressed lines are noted."""
        ended_requests = read_ended_requests(
            [*logs(), log_line(events.REQUEST_REFUSED, request='killed', suppressed=7)]
        )
        self.assertEqual(ended_requests.unended, 1)
        self.assertIn('note: 7 left out: lines that their process left out (bounded output)', ended_requests.notes())

    def test_no_requests(self) -> None:
        with TemporaryDirectory() as folder:
            source = Path(folder, 'front.log')
            source.write_text('nothing\n', encoding='utf-8')
            self.assertEqual(main(['loss', '--logs', str(source)]), 0)


class LossReportTest(TestCase):
    """Text and HTML page of the report."""

    def test_text(self) -> None:
        text = report_text(read_ended_requests(logs()))
        self.assertIn('12 requests of 1 routes, 4 not on time', text)
        self.assertIn('from second 10: 4 requests', text)

    def test_page(self) -> None:
        """The page has a chart over all routes and one per route; text from logs is escaped."""
        ended_requests = read_ended_requests([*logs(), end_line('x', route='<b>', second=21, **REFUSED)])
        page = loss_html(find_loss(ended_requests.ended, LATE_SHARE), 'a table', 10)
        self.assertEqual(page.count('<svg'), 3)
        self.assertNotIn('<b>', page)
        self.assertIn('a table', page)

    def test_command(self) -> None:
        with TemporaryDirectory() as folder:
            source = Path(folder, 'front.log')
            source.write_text('\n'.join(logs()), encoding='utf-8')
            page = Path(folder, 'loss.html')
            self.assertEqual(main(['loss', '--logs', str(source), '--html', str(page)]), 0)
            self.assertIn('refused, short of prefill', page.read_text(encoding='utf-8'))
            self.assertEqual(main(['loss', '--logs', str(source), '--late-share', '2']), 2)
