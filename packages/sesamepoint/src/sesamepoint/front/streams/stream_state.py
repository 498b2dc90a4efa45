"""State of a stream that may go on at another runner."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamepoint_core.stream_origin.origin import StreamOrigin


BegunCallback = Callable[['StreamOrigin'], None]


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
    begun
        Whether an event has gone to the caller in this answer.
    moved
        Whether it broke within this answer, so that another runner had to be found.
    on_begun
        Called before the first one goes, with the origin.
    """

    origin: StreamOrigin | None = None
    rerun_at: set[str] = field(default_factory=set)
    begun: bool = False
    moved: bool = False
    on_begun: BegunCallback | None = None


__all__ = ('BegunCallback', 'StreamState')
