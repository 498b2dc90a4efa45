"""Tests of reports and searches limited to one client account."""

from __future__ import annotations

import io
from contextlib import redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from sesamectl.cli import main
from tests.ctl.builders import end_line


def _printed_by(*arguments: str) -> str:
    """Return what a command prints for logs of two accounts and one truncated line."""
    own = [end_line(f'mine{number}', second=number, account='harbor') for number in range(3)]
    others = [end_line(f'other{number}', second=number, account='marina', on_time=False) for number in range(5)]
    with TemporaryDirectory() as folder:
        source = Path(folder, 'front.log')
        source.write_text('\n'.join([*own, *others, own[0][:40]]), encoding='utf-8')
        printed = io.StringIO()
        with redirect_stdout(printed):
            main([*arguments, '--account', 'harbor', '--logs', str(source)])
    return printed.getvalue()


class AccountTest(TestCase):
    """Output of the commands with ``--account``."""

    def test_explain(self) -> None:
        """Only requests of the account are listed."""
        printed = _printed_by('explain')
        self.assertEqual([f'mine{number}' in printed for number in range(3)], [True, True, True])
        self.assertNotIn('other', printed.replace('another', ''))

    def test_burn(self) -> None:
        """Late requests of another account are not counted."""
        printed = _printed_by('burn')
        self.assertRegex(printed, r'verdicts +3 +0 +0 +0 +0 +0\.0')

    def test_loss(self) -> None:
        """Three requests are counted, and the truncated line is noted."""
        printed = _printed_by('loss')
        self.assertIn('3', printed)
        self.assertIn('cut off', printed)

    def test_unknown(self) -> None:
        """A route without requests of the account gives none."""
        self.assertIn('no such request', _printed_by('explain', '--route', 'none'))
