"""Non-blocking, rate-limited output of log lines."""

from __future__ import annotations

import logging
import os
import select
import time

# Rate and burst of lines below level WARNING. An instance with 100 requests per
# second writes about 130 lines per second; a line costs about 0.1 ms of CPU
# time, so that 300 lines per second take 3% of a core.
LINES_PER_S = 300.0
BURST_LINES = 600.0
# A pipe that polls as writable accepts this much without blocking (PIPE_BUF).
MAX_LINE_BYTES = 4096


class NonBlockingOutput:
    """Writes lines to a file descriptor, and drops those that would block.

    If the reader of the logs hung, a blocking write would stop the whole
    process and all its requests. Dropped lines are counted in ``dropped``.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, whose flags are not changed."""
        self.dropped = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Write one line, or drop it."""
        line = text.encode()
        if len(line) > MAX_LINE_BYTES or not self._poll.poll(0):
            self.dropped += 1
            return
        try:
            os.write(self._descriptor, line)
        except OSError:
            # The reader has closed the pipe, so that this can't be logged.
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing, since nothing is buffered."""


class LogRateLimit(logging.Filter):
    """Limits the rate of log lines; warnings and errors always pass."""

    def __init__(self) -> None:
        """Start with the full burst."""
        super().__init__()
        self.suppressed = 0
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether ``record`` is written.

        The next line that passes gets the number of suppressed ones as a field.
        """
        now = time.monotonic()
        self._tokens = min(self._tokens + (now - self._refilled_at) * LINES_PER_S, BURST_LINES)
        self._refilled_at = now
        if record.levelno < logging.WARNING and self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens = max(self._tokens - 1, 0)
        if self.suppressed:
            record.suppressed = self.suppressed
            self.suppressed = 0
        return True


__all__ = ('LogRateLimit', 'NonBlockingOutput')
