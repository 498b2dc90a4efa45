"""Sends to one runner that nothing shows to be read yet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from sesamepoint.front.requests.arrivals import ReadSign
from sesamepoint.http1.socket_options import UNACKED_TIMEOUT_MS

if TYPE_CHECKING:
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.requests.arrivals import Sent

MS_PER_S = 1000
# Seconds after a send from which its bytes are at the host of the runner or given up by the system. A runner that
# answers a request which was sent later than that goes on, and reads what waits for it.
DELIVERED_S = UNACKED_TIMEOUT_MS / MS_PER_S
# Seconds after the end of a registration from which nothing more is read. A runner that stands still loses its
# registration too, and reads what waits when it goes on.
GONE_S = 60.0


class UnreadSends:
    """Sends to one incarnation of a runner, until it shows that it has read them.

    The connection of a send may be closed by then, as after the silence timeout of an attempt. What the system
    has delivered is read all the same when a runner that stood still goes on.
    """

    def __init__(self) -> None:
        """Start without sends."""
        self._sends: deque[Sent] = deque()

    def add(self, sent: Sent) -> None:
        """Wait for a sign that ``sent`` was read."""
        self._sends.append(sent)

    def note_life(self, started_at: float) -> None:
        """Note that the runner answered a request which was started at ``started_at``."""
        while self._sends and _shown_read(self._sends[0], started_at):
            self._sends.popleft().note_read(ReadSign.later_answer)

    def note_ended(self, sign: ReadSign = ReadSign.ended) -> None:
        """Note that nothing more will be read, since the process of the runner has ended."""
        while self._sends:
            self._sends.popleft().note_read(sign)


class UnreadRegistry:
    """Unread sends of all runners; a runner that is registered again still has those of before."""

    def __init__(self) -> None:
        """Start without runners."""
        self._by_incarnation: dict[Incarnation, UnreadSends] = {}
        # Runners without a registration, and since when.
        self._gone: dict[Incarnation, float] = {}

    def of(self, incarnation: Incarnation) -> UnreadSends:
        """Return the unread sends of a runner that is registered now."""
        self._gone.pop(incarnation, None)
        return self._by_incarnation.setdefault(incarnation, UnreadSends())

    def note_gone(self, incarnation: Incarnation, now: float) -> None:
        """Note that a runner is no longer registered, or is another process now."""
        self._gone.setdefault(incarnation, now)

    def expire(self, now: float) -> None:
        """Give up the sends to runners whose registrations have been gone for long."""
        for incarnation, gone_at in tuple(self._gone.items()):
            if now - gone_at > GONE_S:
                self._gone.pop(incarnation)
                self._by_incarnation.pop(incarnation).note_ended(ReadSign.gone)


def _shown_read(sent: Sent, started_at: float) -> bool:
    """Tell whether an answer to a request that was started at ``started_at`` shows that ``sent`` was read before."""
    return sent.sign is not None or sent.sent_at <= started_at - DELIVERED_S


__all__ = ('GONE_S', 'UnreadRegistry', 'UnreadSends')
