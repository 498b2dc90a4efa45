"""Writing log lines without ever waiting, and no more than is bearable."""

from __future__ import annotations

import logging
import os
import select
import time

# Lines below a warning that are written a second in the long run, and in a
# burst. An entry with 100 requests a second writes some 130; a line costs
# about 0.1 ms of processor, so that the bound is 3% of a core.
LINES_A_SECOND = 300.0
BURST_LINES = 600.0
# A pipe that polls as writable takes this much without blocking (PIPE_BUF).
MAX_LINE_BYTES = 4096


class NonBlockingOutput:
    """Writes to a descriptor only what it takes at once.

    If whoever reads the logs hangs, a blocking write would stop the whole
    process, and with it all requests. Lines are dropped instead, and counted.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``; it is not changed."""
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
            # Nobody reads; there is no place left to say so.
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing: nothing is kept back."""


class RateLimit(logging.Filter):
    """Lets a bounded number of lines pass; warnings and errors always."""

    def __init__(self) -> None:
        """Start with a burst to spend."""
        super().__init__()
        self.suppressed = 0
        self._credit = BURST_LINES
        self._at = time.monotonic()

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether ``record`` is written; what is not is counted on the next."""
        now = time.monotonic()
        self._credit = min(self._credit + (now - self._at) * LINES_A_SECOND, BURST_LINES)
        self._at = now
        if record.levelno < logging.WARNING and self._credit < 1:
            self.suppressed += 1
            return False
        self._credit = max(self._credit - 1, 0)
        if self.suppressed:
            record.suppressed = self.suppressed
            self.suppressed = 0
        return True


__all__ = ('NonBlockingOutput', 'RateLimit')
