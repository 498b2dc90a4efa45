"""Tests of the report on burn rates."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from sesamepoint import events
from sesamectl.burn_rate import ALL_ROUTES, read_burn_rates
from sesamectl.burn_report import burn_html, burn_text
from sesamectl.cli import main
from tests.ctl.builders import end_line, log_line

OBJECTIVE = 0.9


def logs() -> list[str]:
    """Return log lines of twenty requests: ten on time, then ten of which five are not."""
    found = [end_line(f'r{number}', second=number) for number in range(10)]
    found += [end_line(f'r{number}', second=number) for number in range(10, 15)]
    found.append(end_line('late', second=15, on_time=False))
    found.append(end_line('refused', second=16, on_time=False, refused=True, status=503))
    found.append(end_line('failed', second=17, on_time=False, status=502))
    found.append(end_line('broken', second=18, on_time=False, unfinished=True))
    found.append(end_line('left', second=19, on_time=False, unfinished=True, status=0))
    return [*found, log_line(events.CALLER_DISCONNECTED, request='left'), 'no log line']


class BurnTest(TestCase):
    """Outcomes, windows and burn rates."""

    def test_outcomes_counted(self) -> None:
        whole = read_burn_rates(logs(), 10)[0].overall
        self.assertEqual(whole.counts, {'on_time': 15, 'late': 1, 'refused': 1, 'failed': 2, 'left': 1})

    def test_worst_window(self) -> None:
        """Half of the second window missed and a tenth may, which is a burn rate of 5."""
        burn = read_burn_rates(logs(), 10)[0]
        self.assertEqual(burn.route, ALL_ROUTES)
        self.assertAlmostEqual(burn.overall.burn_rate(OBJECTIVE), 2.5)
        self.assertEqual(burn.worst_window(OBJECTIVE).start_s, 10)
        self.assertAlmostEqual(burn.worst_window(OBJECTIVE).burn_rate(OBJECTIVE), 5)

    def test_routes_apart(self) -> None:
        found = read_burn_rates([*logs(), end_line('other', second=3, route='cards')], 10)
        self.assertEqual([burn.route for burn in found], [ALL_ROUTES, 'cards', 'verdicts'])
        self.assertEqual(found[1].overall.total, 1)

    def test_no_lines(self) -> None:
        self.assertEqual(read_burn_rates(['no log line'], 10), [])

    def test_text_and_page(self) -> None:
        burns = read_burn_rates(logs(), 10)
        self.assertIn('5.0 from second 10 (10 requests)', burn_text(burns, OBJECTIVE))
        page = burn_html(burns, OBJECTIVE, 10)
        self.assertEqual(page.count('<svg'), 2)
        self.assertIn('90.0% of the requests on time', page)

    def test_command(self) -> None:
        """The command reads a file, prints the table and writes the page."""
        with TemporaryDirectory() as folder:
            source = Path(folder, 'front.log')
            source.write_text('\n'.join(logs()), encoding='utf-8')
            page = Path(folder, 'burn.html')
            self.assertEqual(main(['burn', '--logs', str(source), '--html', str(page)]), 0)
            self.assertIn('verdicts', page.read_text(encoding='utf-8'))
            self.assertEqual(main(['burn', '--logs', str(source), '--objective', '100']), 2)
