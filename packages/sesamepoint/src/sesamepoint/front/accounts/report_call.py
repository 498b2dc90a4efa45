"""Call that sends a usage report to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError
from sesamepoint.platform.usage_reports import report_usage

if TYPE_CHECKING:
    from sesamepoint_core.duty.report_schedule import Report
    from sesamepoint.http1.transport import Network
    from sesamepoint_core.serving.address import Address

# Timeout of a call that sends a report, in seconds; a call begins only if the
# lease is valid until the timeout.
CALL_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.4
STATUS_OK = 200


class ReportCall:
    """Sends reports in the name of one instance, each on a new connection."""

    def __init__(self, address: Address, holder: str, network: Network) -> None:
        """Send to ``address``, as the ``holder`` of the duty."""
        self.address = address
        self._holder = holder
        self._network = network

    async def send(self, report: Report, fence: int) -> int:
        """Send a report and return the status code of the response; 0 if there was none in time."""
        status = 0
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                status = await self._post(report, fence)
        except (ConnectFailedError, ConnBrokenError, trio.TooSlowError) as exc:
            events.log_event(events.USAGE_REPORT_FAILED, window=report.window, fence=fence, cause=repr(exc))
        if status not in {0, STATUS_OK}:
            events.log_event(events.USAGE_REPORT_FAILED, window=report.window, fence=fence, cause=f'status {status}')
        return status

    async def _post(self, report: Report, fence: int) -> int:
        conn = ClientConn(await self._network.connect(self.address, CONNECT_TIMEOUT_S))
        try:
            return await report_usage(conn, self.address, self._holder, fence, report.body)
        finally:
            conn.close()


__all__ = ('CALL_TIMEOUT_S', 'STATUS_OK', 'ReportCall')
