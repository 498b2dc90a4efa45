"""Figures and requests of one client account."""

from __future__ import annotations

import io
from contextlib import redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from sesamectl.cli import main
from tests.ctl.builders import ended


def _told(*arguments: str) -> str:
    """Return what a command prints on logs of two accounts, with a line that was cut off."""
    mine = [ended(f'mine{number}', second=number, account='harbor') for number in range(3)]
    others = [ended(f'other{number}', second=number, account='marina', on_time=False) for number in range(5)]
    with TemporaryDirectory() as folder:
        source = Path(folder, 'front.log')
        source.write_text('\n'.join([*mine, *others, mine[0][:40]]), encoding='utf-8')
        printed = io.StringIO()
        with redirect_stdout(printed):
            main([*arguments, '--account', 'harbor', '--logs', str(source)])
    return printed.getvalue()


class AccountTest(TestCase):
    """What the commands show with an account."""

    def test_explain(self) -> None:
        """Its requests, each with whether it ran, and none of another's."""
        told = _told('explain')
        self.assertEqual([f'mine{number}' in told for number in range(3)], [True, True, True])
        self.assertNotIn('other', told.replace('another', ''))

    def test_burn(self) -> None:
        """All of its requests were on time, whatever became of the others."""
        told = _told('burn')
        self.assertRegex(told, r'verdicts +3 +0 +0 +0 +0 +0\.0')

    def test_loss(self) -> None:
        """Three requests, and a note on the line that was cut off."""
        told = _told('loss')
        self.assertIn('3', told)
        self.assertIn('cut off', told)

    def test_unknown(self) -> None:
        """An account that no line names has no requests."""
        self.assertIn('no such request', _told('explain', '--route', 'none'))
