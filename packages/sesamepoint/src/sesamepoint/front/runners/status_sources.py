"""Sources of the known status of a runner, as named in log lines."""

from __future__ import annotations

# What an answer to this instance reported.
FROM_ANSWER = 'answer'

__all__ = ('FROM_ANSWER',)
