"""A nose2 plugin that treats failures of the tests listed in KNOWN-RED.txt as expected.

Each line of the file is one entry: a test; a case of an independent review, or a seed of random faults. The test runner
does not run the latter two, and so does not pass over them. Each names its command, what was seen and an open issue.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from nose2.events import Plugin

ROOT = Path(__file__).parent.parent
KNOWN_RED_FILE = ROOT / 'KNOWN-RED.txt'
# A longer list would no longer be a list of exceptions.
MAX_LISTED = 3
_TEST_ENTRY = re.compile(r'(?P<id>tests(\.\w+)+): python -m nose2 -N 1 tests\.\S+ .*; issue \d+')
_SEED_ENTRY = re.compile(r'(?P<id>tests(\.\w+)+): python -m (?P=id) \d+ \d+ .*; issue \d+')
_CASE_ENTRY = re.compile(r'(?P<id>review/\d+) \([A-Z]+\): bash (?P=id)/run\.sh .*, issue \d+')


def entries() -> tuple[str, ...]:
    """Return the lines of the file, one for each entry."""
    lines = KNOWN_RED_FILE.read_text(encoding='utf-8').splitlines()
    return tuple(line for line in lines if line.strip())


def listed() -> tuple[str, ...]:
    """Return the ids of the tests that are known to fail.

    Raises
    ------
    ValueError
        If a line is the entry of neither a test, nor a seed, nor a review's case.
    """
    ids = []
    for line in entries():
        test = _TEST_ENTRY.fullmatch(line)
        if test:
            ids.append(test['id'])
        elif not _is_script(line):
            raise ValueError(f'KNOWN-RED.txt: not an entry of one test, seed or case of a review: {line[:80]}')
    return tuple(ids)


def _is_script(line: str) -> bool:
    """Tell whether a line is the entry of a seed, or of a review's case that exists."""
    case = _CASE_ENTRY.fullmatch(line)
    return bool(_SEED_ENTRY.fullmatch(line)) or (case is not None and (ROOT / case['id'] / 'run.sh').is_file())


class KnownRed(Plugin):  # type: ignore[misc]
    """Marks failures of listed tests as expected; all other failures count."""

    configSection = 'known-red'  # noqa: WPS115
    alwaysOn = True  # noqa: WPS115

    def __init__(self) -> None:
        """Read the list.

        Raises
        ------
        ValueError
            If the list is longer than allowed.

        """
        self._listed_ids = listed()
        if len(self._listed_ids) > MAX_LISTED:
            raise ValueError(f'KNOWN-RED.txt lists {len(self._listed_ids)} tests; at most {MAX_LISTED} may land')

    def registerInSubprocess(self, event: Any) -> None:  # noqa: N802
        """Register the plugin in the worker processes that run tests in parallel."""
        event.pluginClasses.append(self.__class__)

    def setTestOutcome(self, event: Any) -> None:  # noqa: N802
        """Mark the failure of a listed test as expected.

        An assertion that fails within a nursery comes as a group of errors.
        """
        if event.test.id() not in self._listed_ids:
            return
        if event.outcome == 'failed' or _is_failed_assertion(event.exc_info):
            event.outcome = 'failed'
            event.expected = True


def _is_failed_assertion(exc_info: Any) -> bool:
    """Tell whether failed assertions are all that a test ended with."""
    exc = exc_info[1] if exc_info else None
    if isinstance(exc, BaseExceptionGroup):
        return exc.split(AssertionError)[1] is None
    return isinstance(exc, AssertionError)


__all__ = ('KnownRed', 'entries', 'listed')
