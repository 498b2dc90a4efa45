"""How a response is ended on its connection, so that its reader learns whether it is whole."""

from __future__ import annotations

from enum import Enum

from sesamepoint_core.body_end.body_facts import Framing


class ResponseEnd(Enum):
    """What is done on the connection at the end of a response.

    ``mark``: its framing marks the end. ``close``: the connection is closed in order.
    ``reset``: the connection is reset.
    """

    mark = 'mark'
    close = 'close'
    reset = 'reset'


def response_end(framing: Framing, *, complete: bool) -> ResponseEnd:
    """Return how a response with this framing ends.

    A reader takes a close for the end of a body without a length and without chunks, as HTTP/1.0 has
    them, so only a reset tells it that such a body is broken off.
    """
    until_close = framing is Framing.until_close
    if complete:
        return ResponseEnd.close if until_close else ResponseEnd.mark
    return ResponseEnd.reset if until_close else ResponseEnd.close


__all__ = ('ResponseEnd', 'response_end')
