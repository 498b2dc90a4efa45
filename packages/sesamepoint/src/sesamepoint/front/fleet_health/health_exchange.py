"""Reports of this instance on the health of runners, and those of its peers."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.fleet_health.report_pacing import report_interval_s, report_ttl_s
from sesamepoint_core.fleet_health.reports import ProbeState
from sesamepoint_core.fleet_health.runner_health import HealthChange
from sesamepoint_core.serving.runner import Stage
from sesamepoint import events
from sesamepoint.front.fleet_health.health_messages import MAX_ROWS, RunnerHealthMessage
from sesamepoint.front.peering.peer_network import PACKET_HEADER_BYTES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.fleet_health.reports import RunnerReport
    from sesamepoint.front.fleet_health.probing import Probing
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.fleet_member import Member

# First failures are batched for this time, in seconds, before they are sent.
BATCH_S = 0.02
# Probes are batched for this time only, in seconds, so that two instances hardly send one at once.
PROBE_BATCH_S = 0.001

_CHANGE_EVENTS = MappingProxyType(
    {
        HealthChange.ejected: events.RUNNER_EJECTED_BY_REPORTS,
        HealthChange.returned: events.RUNNER_RETURNED,
        HealthChange.probe_failed: events.PEER_PROBE_FAILED,
    }
)


class HealthExchange:
    """Sends reports on runners to all peers, and takes in theirs."""

    def __init__(self, fleet: Fleet, peers: Peers, probing: Probing) -> None:
        """Report on the runners of ``fleet`` to ``peers``."""
        self._fleet = fleet
        self._peers = peers
        self._probing = probing
        self._urgent = trio.Event()
        self._urgent_members: dict[Member, None] = {}
        self._message_bytes = 0
        fleet.on_health_urgent = self._note_urgent
        peers.handlers[RunnerHealthMessage] = self.on_message

    def on_message(self, message: RunnerHealthMessage) -> None:
        """Take in the reports of a peer; those on an incarnation that is not known here are ignored."""
        now = trio.current_time()
        for row in message.rows:
            member = self._fleet.of_incarnation(row.incarnation)
            if member is None:
                continue
            if row.repeatable:
                self._probing.note_repeatable(member.runner.service)
            change = member.health.take_report(message.entry, row, now, report_ttl_s(self._interval_s()))
            if change is not HealthChange.none:
                self._log(member, change, message.entry)

    async def run(self) -> None:
        """Send reports until cancelled."""
        report_at = trio.current_time()
        while True:
            report_at = max(report_at, trio.current_time()) + self._interval_s()
            while trio.current_time() < report_at:
                with trio.move_on_at(report_at):
                    await self._urgent.wait()
                    await trio.sleep(self._batch_s())
                    await self._send_urgent()
            await self._send_regular()

    def _interval_s(self) -> float:
        return report_interval_s(len(self._peers.peer_names()), self._message_bytes)

    def _batch_s(self) -> float:
        probed = any(member.health.half_open.ejected for member in self._urgent_members)
        return PROBE_BATCH_S if probed else BATCH_S

    def _note_urgent(self, member: Member) -> None:
        self._urgent_members[member] = None
        self._urgent.set()

    async def _send_urgent(self) -> None:
        members = list(self._urgent_members)
        self._urgent_members.clear()
        self._urgent = trio.Event()
        now = trio.current_time()
        await self._send([self._report(member, now) for member in members if not member.closed])

    async def _send_regular(self) -> None:
        now = trio.current_time()
        changed = [one for one in self._fleet.members.values() if self._reports_on(one) and one.health.own.changed(now)]
        rows = [self._report(member, now) for member in changed]
        for member in changed:
            member.health.own.note_reported(now)
        self._message_bytes = await self._send(rows)

    def _reports_on(self, member: Member) -> bool:
        """Tell whether peers need regular reports: always of a plain runner, of an engine only if it fails.

        The load of engines is known to peers from the sends that are announced.
        """
        own = member.health.own
        return member.runner.stage is Stage.plain or bool(own.counts.failures) or own.probe is not ProbeState.none

    def _report(self, member: Member, now: float) -> RunnerReport:
        repeatable = self._probing.own_repeatable(member.runner.service)
        return member.health.own.report(member.incarnation, now, repeatable=repeatable)

    async def _send(self, rows: Sequence[RunnerReport]) -> int:
        """Send ``rows`` to all peers; return the bytes that each of them receives."""
        sent_bytes = 0
        for start in range(0, len(rows), MAX_ROWS):
            message = RunnerHealthMessage(self._peers.name, tuple(rows[start : start + MAX_ROWS]))
            sent_bytes += len(msgspec.msgpack.encode(message)) + PACKET_HEADER_BYTES
            await self._peers.send_to(self._peers.peer_names(), message)
        return sent_bytes

    def _log(self, member: Member, change: HealthChange, source: str) -> None:
        health = member.health
        now = trio.current_time()
        events.log_event(
            _CHANGE_EVENTS[change],
            runner=member.runner.key,
            born_ms=member.runner.born_ms,
            source=source,
            reporters=health.evidence.reporters(now),
            failure_share=round(health.failures.recent, 3),
            retry_s=round(max(health.half_open.retry_at - now, 0), 3),
        )


__all__ = ('HealthExchange',)
