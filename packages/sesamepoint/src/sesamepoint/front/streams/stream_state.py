"""State of a stream that may go on at another runner."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamepoint_core.stream_origin.origin import StreamOrigin


@dataclass
class StreamState:
    """What one request knows of its stream.

    Parameters
    ----------
    origin
        Fixed by the runner of the first event; None before that, and for other answers.
    rerun_at
        Runners at which it may go on although it has been there, since no other
        runner of its origin is left.
    """

    origin: StreamOrigin | None = None
    rerun_at: set[str] = field(default_factory=set)


__all__ = ('StreamState',)
