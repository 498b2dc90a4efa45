"""Stand-in for the service that receives usage reports, checks of the reports, and virtual clocks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from sesamepoint.http1.messages import RejectedMessageError, header
from sesamepoint.http1.server import CallerGoneError, Message, ServerConn, ServerLimits
from sesamepoint.platform import names

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint.http1.transport import Transport

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
ANSWER_S = 0.004
# Time of day at the start of virtual time, in seconds since 1970.
BEGAN_S = 1_800_000_000


class VirtualClock:
    """Clocks of one machine; the time of day can have an offset, in seconds."""

    def __init__(self) -> None:
        """Start without an offset."""
        self.off_s: float = 0

    def steady(self) -> float:
        """Return trio's time, in seconds."""
        return trio.current_time()

    def time_of_day(self) -> float:
        """Return the time of day of this machine, in seconds since 1970."""
        return BEGAN_S + trio.current_time() + self.off_s


class Reported(NamedTuple):
    """Usage report as received."""

    at: float
    holder: str
    fence: int
    body: bytes

    @property
    def window(self) -> int:
        """Return the number of the window that is reported."""
        return int(msgspec.json.decode(self.body)['window'])

    @property
    def counts(self) -> dict[str, int]:
        """Return the reported counts."""
        return dict(msgspec.json.decode(self.body)['counts'])


class UsageStandIn:
    """Service that receives usage reports, with faults set by tests."""

    def __init__(self) -> None:
        """Start without reports and faults."""
        self.came: list[Reported] = []
        self.refuses = False
        # Delay of the answer to a report that was stored, in seconds.
        self.slow_s: float = 0

    async def serve(self, transport: Transport) -> None:
        """Serve one connection."""
        conn = ServerConn(transport, ServerLimits())
        try:
            while await conn.first_byte():
                await conn.whole(await self._take(await conn.request()), (), b'')
                conn.next_cycle()
        except (CallerGoneError, RejectedMessageError):
            return
        finally:
            transport.close()

    def counts(self) -> dict[int, dict[str, int]]:
        """Return the reported counts by window."""
        return {one.window: one.counts for one in self.came}

    def broken(self, turns_s: float) -> list[str]:
        """Return the violations by holders of the duty.

        These are different counts for one window, fencing numbers that decrease or
        have two holders, and holders that alternate within ``turns_s`` seconds.
        """
        return [*self._differing(), *self._fences(), *self._turns(turns_s)]

    async def _take(self, message: Message) -> int:
        headers = message.head.headers
        if self.refuses:
            return STATUS_UNAVAILABLE
        holder = (header(headers, names.DUTY_HOLDER) or b'').decode()
        fence = int(header(headers, names.FENCING_NUMBER) or b'-1')
        self.came.append(Reported(trio.current_time(), holder, fence, message.body))
        await trio.sleep(ANSWER_S + self.slow_s)
        return STATUS_OK

    def _differing(self) -> Iterator[str]:
        seen: dict[int, bytes] = {}
        for one in self.came:
            if seen.setdefault(one.window, one.body) != one.body:
                yield f'window {one.window} was reported twice with different counts'

    def _fences(self) -> Iterator[str]:
        highest = -1
        holder_of: dict[int, str] = {}
        for one in self.came:
            if one.fence < highest:
                yield f'fencing number {one.fence} after {highest}'
            if holder_of.setdefault(one.fence, one.holder) != one.holder:
                yield f'fencing number {one.fence} has two holders'
            highest = max(highest, one.fence)

    def _turns(self, turns_s: float) -> Iterator[str]:
        for index, last in enumerate(self.came):
            recent = [one for one in self.came[:index] if one.at > last.at - turns_s]
            same_holder = [position for position, one in enumerate(recent) if one.holder == last.holder]
            if same_holder and any(one.holder != last.holder for one in recent[same_holder[0] :]):
                yield f'two holders alternated before {last.at}'


__all__ = ('BEGAN_S', 'Reported', 'UsageStandIn', 'VirtualClock')
