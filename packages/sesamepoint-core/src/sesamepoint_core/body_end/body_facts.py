"""What is known of the end of a response's body."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Framing(Enum):
    """What marks the end of a body on its connection.

    ``empty``: the response has none, by its status or its method. ``until_close``:
    nothing but the end of the connection (RFC 9112, section 6.3).
    """

    empty = 'empty'
    length = 'length'
    chunked = 'chunked'
    until_close = 'until_close'


class ReadEnd(Enum):
    """How the reading of a body ended.

    ``last_byte``: its framing marked the end. ``closed``: the sender closed the
    connection in order. ``malformed``: bytes arrived that violate the protocol.
    ``unsent``: the connection ended before the whole request had been sent, and no framing marked the end.
    ``given_up``: nothing more was read because an event or the body exceeds its limit.
    """

    last_byte = 'last_byte'
    closed = 'closed'
    reset = 'reset'
    unsent = 'unsent'
    timed_out = 'timed_out'
    malformed = 'malformed'
    given_up = 'given_up'


class BodyKind(Enum):
    """What a body holds.

    ``events``: a stream of server-sent events. ``plain``: bytes that nobody here
    reads. ``document``: an encoded object that is decoded here, such as JSON.
    """

    events = 'events'
    plain = 'plain'
    document = 'document'


class BodyFacts(NamedTuple):
    """Everything that tells whether a body is whole.

    Parameters
    ----------
    whole_events
        Number of complete events; 0 for other kinds.
    left_over_bytes
        Bytes after the last complete event; 0 for other kinds.
    """

    kind: BodyKind
    framing: Framing
    read_end: ReadEnd
    whole_events: int = 0
    left_over_bytes: int = 0

    def log_fields(self) -> dict[str, object]:
        """Return the fields that log lines on a body have."""
        return {
            'body': self.kind.value,
            'framing': self.framing.value,
            'read_end': self.read_end.value,
            'whole_events': self.whole_events,
            'left_over_bytes': self.left_over_bytes,
        }


__all__ = ('BodyFacts', 'BodyKind', 'Framing', 'ReadEnd')
