"""How a stand-in for a runner frames its answers, and which of them it breaks off."""

from __future__ import annotations

from collections import deque
from random import Random
from typing import TYPE_CHECKING

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint_standins.platform.framed_answer import Cut, FramedAnswer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint.http1.server import ServerConn
    from sesamepoint.http1.transport import Transport

FRAMINGS = (Framing.length, Framing.chunked, Framing.until_close)
LINE_ENDS = (b'\n', b'\r\n')
# Time from the last byte to the end of the connection, in seconds: so that a reset drops that byte, or does not.
END_DELAYS_S = (0, 0.005)


class AnswerHabits:
    """How a runner frames its answers and breaks some of them off, drawn for each from a generator of its own."""

    def __init__(self, seed: str) -> None:
        """Draw from ``seed``."""
        # Share of the answers that break off at a random byte; the runner lives on.
        self.breaks_off: float = 0
        # Where and how the next answers break off, but for streams that go on after an event.
        self.cuts: deque[Cut] = deque()
        # Fixed for all answers if they are not None.
        self.framing: Framing | None = None
        self.line_end: bytes | None = None
        self._rng = Random(seed)

    def next_line_end(self) -> bytes:
        """Return the line end of the events of the next stream."""
        return self.line_end or self._rng.choice(LINE_ENDS)

    def next_answer(self, conn: ServerConn, transport: Transport, body: bytes, *, kept_open: bool) -> FramedAnswer:
        """Return the next answer that is no stream; ``kept_open`` forbids to end its connection with it."""
        framing = Framing.length if kept_open else self._next_framing()
        return FramedAnswer(conn, transport, framing, self._next_cut((body,), _ends_of_plain(framing)))

    def next_stream(
        self, conn: ServerConn, transport: Transport, events: Sequence[bytes], *, resumed: bool
    ) -> FramedAnswer:
        """Return the next stream; one that goes on after an event is not broken off."""
        cut = None if resumed else self._next_cut(events, (ReadEnd.closed, ReadEnd.reset, ReadEnd.last_byte))
        return FramedAnswer(conn, transport, self._next_framing(), cut)

    def _next_framing(self) -> Framing:
        return self.framing or self._rng.choice(FRAMINGS)

    def _next_cut(self, parts: Sequence[bytes], ends: Sequence[ReadEnd]) -> Cut | None:
        if self.cuts:
            return self.cuts.popleft()
        if not any(parts) or self._rng.random() >= self.breaks_off:
            return None
        part = self._rng.randrange(len(parts))
        # Inside a part: between two events some ends could not be told from a whole answer.
        at_byte = sum(len(each) for each in parts[:part]) + self._rng.randrange(1, max(len(parts[part]), 2))
        return Cut(at_byte, self._rng.choice(ends), self._rng.choice(END_DELAYS_S))


def _ends_of_plain(framing: Framing) -> tuple[ReadEnd, ...]:
    """Return the ends by which a reader can tell that an answer that is no stream was broken off."""
    return (ReadEnd.reset,) if framing is Framing.until_close else (ReadEnd.closed, ReadEnd.reset)


__all__ = ('FRAMINGS', 'LINE_ENDS', 'AnswerHabits')
