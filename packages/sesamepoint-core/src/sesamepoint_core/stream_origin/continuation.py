"""What a caller says of a stream that an earlier attempt of it began."""

from __future__ import annotations

from typing import NamedTuple

# Ids are cut to this length in log lines, in characters.
MAX_LOGGED_CHARS = 64


class Continuation(NamedTuple):
    """The stream that a request goes on with, as its caller names it.

    Parameters
    ----------
    last_event_id
        Id of the last event that the caller has; empty if it has none.
    first_attempt
        Request id of the attempt that brought the first event; empty if it is not named,
        or named twice with different ids.
    """

    last_event_id: str = ''
    first_attempt: str = ''

    @property
    def has_events(self) -> bool:
        """Tell whether the caller has events already, to which those of this request are joined."""
        return bool(self.last_event_id)

    def log_fields(self) -> dict[str, str]:
        """Return the fields for log lines."""
        return {
            'last_event_id': self.last_event_id[:MAX_LOGGED_CHARS],
            'first_attempt': self.first_attempt[:MAX_LOGGED_CHARS],
        }


__all__ = ('Continuation',)
