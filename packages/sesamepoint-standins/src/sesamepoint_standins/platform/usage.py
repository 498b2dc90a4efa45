"""Stand-in for the service that receives usage reports, checks of the reports, and virtual clocks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from sesamepoint.http1.messages import RejectedRequestError, header
from sesamepoint.http1.server import CallerGoneError, ReceivedRequest, ServerConn, ServerLimits
from sesamepoint.platform import wire_names

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint.http1.transport import Transport

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
ANSWER_DELAY_S = 0.004
# Time of day at the start of virtual time, in seconds since 1970.
START_TIME_OF_DAY_S = 1_800_000_000


class VirtualClock:
    """Clocks of one machine: the offset of its time of day and the time for which it was suspended, in seconds."""

    def __init__(self) -> None:
        """Start without an offset."""
        self.offset_s: float = 0
        self.suspended_s: float = 0

    def steady(self) -> float:
        """Return trio's time, which stands still while the machine is suspended, and the time of that, in seconds."""
        return trio.current_time() + self.suspended_s

    def time_of_day(self) -> float:
        """Return the time of day of this machine, in seconds since 1970."""
        return START_TIME_OF_DAY_S + self.steady() + self.offset_s


class UsageReport(NamedTuple):
    """Usage report as received."""

    received_at: float
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
        self.reports: list[UsageReport] = []
        self.rejects = False
        # Delay of the answer to a report that was stored, in seconds.
        self.extra_delay_s: float = 0

    async def serve(self, transport: Transport) -> None:
        """Serve one connection."""
        conn = ServerConn(transport, ServerLimits)
        try:
            while await conn.wait_for_request():
                await conn.send_whole(await self._receive_report(await conn.read_request()), (), b'')
                conn.start_next_cycle()
        except (CallerGoneError, RejectedRequestError):
            return
        finally:
            transport.close()

    def counts(self) -> dict[int, dict[str, int]]:
        """Return the reported counts by window."""
        return {one.window: one.counts for one in self.reports}

    def violations(self, min_turn_s: float) -> list[str]:
        """Return the violations by holders of the duty.

        These are different counts for one window, fencing numbers that decrease or
        have two holders, and holders that alternate within ``min_turn_s`` seconds.
        """
        return [*self._conflicting_reports(), *self._fencing_violations(), *self._turn_violations(min_turn_s)]

    async def _receive_report(self, message: ReceivedRequest) -> int:
        headers = message.head.headers
        if self.rejects:
            return STATUS_UNAVAILABLE
        holder = (header(headers, wire_names.DUTY_HOLDER) or b'').decode()
        fence = int(header(headers, wire_names.FENCING_TOKEN) or b'-1')
        self.reports.append(UsageReport(trio.current_time(), holder, fence, message.body))
        await trio.sleep(ANSWER_DELAY_S + self.extra_delay_s)
        return STATUS_OK

    def _conflicting_reports(self) -> Iterator[str]:
        seen: dict[int, bytes] = {}
        for one in self.reports:
            if seen.setdefault(one.window, one.body) != one.body:
                yield f'window {one.window} was reported twice with different counts'

    def _fencing_violations(self) -> Iterator[str]:
        highest = -1
        holder_of: dict[int, str] = {}
        for one in self.reports:
            if one.fence < highest:
                yield f'fencing number {one.fence} after {highest}'
            if holder_of.setdefault(one.fence, one.holder) != one.holder:
                yield f'fencing number {one.fence} has two holders'
            highest = max(highest, one.fence)

    def _turn_violations(self, min_turn_s: float) -> Iterator[str]:
        for index, last in enumerate(self.reports):
            recent = [one for one in self.reports[:index] if one.received_at > last.received_at - min_turn_s]
            same_holder = [position for position, one in enumerate(recent) if one.holder == last.holder]
            if same_holder and any(one.holder != last.holder for one in recent[same_holder[0] :]):
                yield f'two holders alternated before {last.received_at}'


__all__ = ('START_TIME_OF_DAY_S', 'UsageReport', 'UsageStandIn', 'VirtualClock')
