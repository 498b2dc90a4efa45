"""Sources of the known status of a runner, as named in log lines."""

from __future__ import annotations

# What an answer to this instance reported.
FROM_ANSWER = 'answer'
# What its registration in the platform's store said.
FROM_REGISTRATION = 'registration'

__all__ = ('FROM_ANSWER', 'FROM_REGISTRATION')
