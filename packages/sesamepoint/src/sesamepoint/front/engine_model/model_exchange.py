"""Exchange of the engine models between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.engine_model.publication import Publication
from sesamepoint_core.serving.runner import Stage
from sesamepoint.front.engine_model.model_messages import MAX_ROWS, EngineModelMessage, ModelRow
from sesamepoint.front.peering.peer_network import PACKET_HEADER_BYTES

if TYPE_CHECKING:
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet import Fleet

# Interval between two rounds, in seconds, and the bytes that an instance sends in one.
ROUND_S = 1.0
MAX_ROUND_BYTES = 4000


class ModelExchange:
    """Sends the estimates of this instance to the peers that use an engine, and takes in theirs."""

    def __init__(self, fleet: Fleet, engine_subset: EngineSubset, peers: Peers) -> None:
        """Exchange with ``peers`` the models of the engines in ``fleet``."""
        self._fleet = fleet
        self._engine_subset = engine_subset
        self._peers = peers
        self._publication = Publication()
        self._last_peer = ''
        peers.handlers[EngineModelMessage] = self.on_message
        peers.on_peer_joined.append(self._publication.note_joined)

    async def run(self) -> None:
        """Send changed rows once a second until cancelled."""
        while True:
            await trio.sleep(ROUND_S)
            await self.send_round()

    def on_message(self, message: EngineModelMessage) -> None:
        """Take in the estimates of a peer; those for unknown or earlier incarnations are dropped."""
        now = trio.current_time()
        for row in message.rows:
            member = self._fleet.of_incarnation(row.start)
            if member is not None:
                member.model.take_report(message.entry, row.report, now - row.age_s)

    async def send_round(self) -> None:
        """Send changed rows to the peers in turn, as far as the bytes of one round suffice."""
        self._update_rows()
        peers = sorted(self._peers.peer_names())
        turn = [name for name in peers if name > self._last_peer] + [name for name in peers if name <= self._last_peer]
        left_bytes = MAX_ROUND_BYTES
        for name in turn:
            if left_bytes <= 0:
                return
            left_bytes -= await self._send_rows(name)
            self._last_peer = name

    def _update_rows(self) -> None:
        now = trio.current_time()
        for member in self._fleet.members.values():
            if member.runner.stage is not Stage.plain and member.model.new_samples:
                member.model.new_samples = False
                self._publication.update(member.incarnation, member.model.own_report, now)
        incarnations = [one.incarnation for one in self._fleet.members.values()]
        self._publication.keep_only(incarnations, self._peers.peer_names())

    async def _send_rows(self, peer: str) -> int:
        """Send the rows that are due at ``peer``; return the bytes that this took."""
        due = [one for one in self._publication.due_rows(peer) if self._engine_subset.contains_at(peer, one.runner)]
        self._publication.note_sent(peer, trio.current_time())
        sent_bytes = 0
        for start in range(0, len(due), MAX_ROWS):
            rows = tuple(map(self._row, due[start : start + MAX_ROWS]))
            message = EngineModelMessage(self._peers.name, rows)
            sent_bytes += PACKET_HEADER_BYTES + len(msgspec.msgpack.encode(message))
            await self._peers.send_to([peer], message)
        return sent_bytes

    def _row(self, incarnation: Incarnation) -> ModelRow:
        member = self._fleet.of_incarnation(incarnation)
        age_s = trio.current_time() - member.model.sampled_at if member else 0
        return ModelRow.from_report(incarnation, self._publication.report_of(incarnation), age_s)


__all__ = ('ModelExchange',)
