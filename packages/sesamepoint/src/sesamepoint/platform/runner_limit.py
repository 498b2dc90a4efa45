"""The limit that a runner names in its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.runner_limit.belief import parse_rate
from sesamepoint.platform import names

if TYPE_CHECKING:
    from sesamepoint.http1.messages import ResponseHead

# As much of a text that can't be read as a log line needs.
SHOWN_TEXT = 40


class Named(NamedTuple):
    """What one answer says of its runner's limit.

    Parameters
    ----------
    rate
        Requests a second from all instances together; None if it names none that can be read.
    unreadable
        The beginning of a text that is no limit.
    """

    rate: float | None
    unreadable: str = ''

    @property
    def silent(self) -> bool:
        """Tell whether the answer says nothing of a limit."""
        return self.rate is None and not self.unreadable


def named_limit(found: ResponseHead) -> Named:
    """Return what the head of an answer says of its runner's limit; of several words the last good one counts."""
    rate: float | None = None
    unreadable = ''
    for name, text in found.headers:
        if name != names.RUNNER_LIMIT:
            continue
        shown = text.decode('latin-1')
        try:
            rate = parse_rate(shown)
        except ValueError:
            unreadable = shown[:SHOWN_TEXT] or '(empty)'
    return Named(rate, unreadable)


__all__ = ('Named', 'named_limit')
