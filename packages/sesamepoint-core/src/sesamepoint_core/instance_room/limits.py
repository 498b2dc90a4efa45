"""Limits of an instance, as given by its settings."""

from __future__ import annotations

import math
from typing import NamedTuple

# Descriptors that are kept free for files, of the limit in the settings.
RESERVED_DESCRIPTORS = 200
# Share of the connections that callers may hold; each of their requests needs one more, to a runner.
CALLER_SHARE = 0.5


class InstanceLimits(NamedTuple):
    """Limits of one instance; a value that the settings do not give is infinite.

    Parameters
    ----------
    memory_bytes
        The process is killed above this size; bytes received and not yet read count.
    processor_share
        Share of ``cores`` that the process may use.
    descriptors
        Number of file descriptors, including those reserved for files.
    """

    memory_bytes: float = math.inf
    processor_share: float = math.inf
    cores: float = math.inf
    descriptors: float = math.inf

    @property
    def connections(self) -> float:
        """Return the largest number of open connections."""
        return max(self.descriptors - RESERVED_DESCRIPTORS, 1)

    @property
    def caller_connections(self) -> float:
        """Return the largest number of open connections of callers."""
        return max(CALLER_SHARE * self.connections, 1)


__all__ = ('InstanceLimits',)
