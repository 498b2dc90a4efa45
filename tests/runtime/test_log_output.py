"""Tests of log output, which must never block the process."""

from __future__ import annotations

import logging
import os
from unittest import TestCase

from sesamepoint.log_output import BURST_LINES, LogRateLimit, NonBlockingOutput

LINE = f'{"x" * 1000}\n'


class NonBlockingOutputTest(TestCase):
    """Output to a pipe that nobody reads."""

    def test_full_pipe_drops_lines(self) -> None:
        """The reader of the logs hangs and the pipe fills up.

        A blocking write would stop every request of the process. Lines must be
        dropped and counted, and written again once the pipe has room.
        """
        reading, writing = os.pipe()
        output = NonBlockingOutput(writing)
        for _ in range(200):
            output.write(LINE)
        self.assertGreater(output.dropped, 100)
        before = output.dropped
        os.read(reading, 65536)
        output.write(LINE)
        self.assertEqual(output.dropped, before)
        os.close(reading)
        os.close(writing)

    def test_closed_pipe_drops_lines(self) -> None:
        reading, writing = os.pipe()
        output = NonBlockingOutput(writing)
        os.close(reading)
        output.write(LINE)
        self.assertEqual(output.dropped, 1)
        os.close(writing)


class RateLimitTest(TestCase):
    """The limit on log lines during a burst."""

    def test_burst_is_limited(self) -> None:
        limit = LogRateLimit()
        passed = sum(limit.filter(_record(logging.INFO)) for _ in range(5 * int(BURST_LINES)))
        self.assertLess(passed, 2 * BURST_LINES)
        self.assertGreater(limit.suppressed, 0)

    def test_warnings_pass(self) -> None:
        """A warning passes during a burst, with the number of suppressed lines."""
        limit = LogRateLimit()
        for _ in range(5 * int(BURST_LINES)):
            limit.filter(_record(logging.INFO))
        warning = _record(logging.WARNING)
        self.assertTrue(limit.filter(warning))
        self.assertGreater(getattr(warning, 'suppressed', 0), 0)


def _record(level: int) -> logging.LogRecord:
    return logging.LogRecord('sesamepoint', level, '', 0, 'text', None, None)
