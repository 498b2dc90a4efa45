"""Origins of streams: announced to a few peers, and requested from them."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.stream_origin.holders import ASKED, HOLDERS, HolderChoice
from sesamepoint_core.stream_origin.origin import stream_digest
from sesamepoint_core.stream_origin.origin_lookup import Known, OriginAnswer, OriginLookup, Unknown
from sesamepoint_core.stream_origin.origin_memory import OriginMemory
from sesamepoint import events
from sesamepoint.front.streams.origin_messages import MAX_LOOKUP_NUMBER, OriginMessage, OriginQuestion, OriginReply

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_core.stream_origin.origin import StreamOrigin
    from sesamepoint_core.stream_origin.origin_lookup import LookupResult
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.runners.fleet import Fleet

# A question is sent again to those that have not answered after this time, in seconds: an
# answer from another region takes some 0.08 s.
ASK_AGAIN_S = 0.09
# Time after which a question ends without the missing answers, in seconds. A caller that
# takes a stream up waits for two seconds at least.
ASK_TIMEOUT_S = 0.25
# Time for a read of the list of runners, in seconds: one that is under way ends first.
READ_TIMEOUT_S = 0.6
# Source of an origin that this instance remembers itself.
FROM_OWN_MEMORY = 'own'


@dataclass
class _PendingLookup:
    lookup: OriginLookup
    question: OriginQuestion
    decided: trio.Event = field(default_factory=trio.Event)


class OriginExchange:
    """Announces the origin of each stream that this instance begins, and looks up those of others.

    An instance may be lost with all its streams, so the origins are kept at three peers,
    by a hash of the stream's id. What an instance receives doesn't grow with their number.
    """

    def __init__(self, fleet: Fleet, peers: Peers) -> None:
        """Start without streams; ``fleet`` knows the versions of each service."""
        self.memory = OriginMemory()
        self._fleet = fleet
        self._peers = peers
        self._holders = HolderChoice()
        self._numbers = count()
        self._pending: dict[int, _PendingLookup] = {}
        peers.handlers[OriginMessage] = self._on_message
        peers.handlers[OriginQuestion] = self._on_question
        peers.handlers[OriginReply] = self._on_reply

    def set_retention(self, retention_s: float) -> None:
        """Remember streams and versions for so many seconds."""
        self.memory.retention_s = retention_s
        self._fleet.versions.history.retention_s = retention_s

    def announce(self, request_ids: Iterable[str], origin: StreamOrigin) -> None:
        """Remember the origin of the streams that these attempts began, and send it to the peers that hold it."""
        digests = [stream_digest(request_id) for request_id in request_ids]
        by_peer: dict[str, list[bytes]] = {}
        for digest in digests:
            self.memory.remember(digest, origin, trio.current_time())
            for peer in self._first_peers(digest, HOLDERS):
                by_peer.setdefault(peer, []).append(digest)
        for peer, held in by_peer.items():
            self._peers.send_queue.enqueue(OriginMessage(self._peers.name, origin, tuple(held)), peer)

    async def find(self, first_attempt: str, service: str) -> LookupResult:
        """Return the origin of the stream that the attempt ``first_attempt`` of a caller began.

        Parameters
        ----------
        first_attempt
            Request id of the attempt; empty if the caller does not name it.
        service
            The service that must have begun it; empty if there may be several.
        """
        digest = stream_digest(first_attempt) if first_attempt else b''
        known = self.memory.find(digest, trio.current_time())
        if known is not None and known.origin.known:
            return Known(known.origin, FROM_OWN_MEMORY, known.age_s)
        if known is not None or self.memory.is_ambiguous(digest):
            return Unknown(complete=True)
        return await self._ask(digest, service)

    async def _ask(self, digest: bytes, service: str) -> LookupResult:
        number = next(self._numbers) % MAX_LOOKUP_NUMBER
        lookup = OriginLookup(self._first_peers(digest, ASKED))
        asked_at = trio.current_time()
        pending = _PendingLookup(lookup, OriginQuestion(self._peers.name, number, digest, service))
        self._pending[number] = pending
        try:
            with trio.move_on_after(ASK_TIMEOUT_S):
                await self._ask_until_decided(pending)
        finally:
            self._pending.pop(number)
        if not lookup.remembered:
            lookup.own_sole = await self._current_sole_origin(service, asked_at)
        return lookup.conclude()

    async def _current_sole_origin(self, service: str, asked_at: float) -> StreamOrigin | None:
        """Return the only origin that a stream of before ``asked_at`` can have; None without an answer of the store.

        An instance that was cut off from the store does not know of a second version, and neither do the peers
        that were cut off with it: streams went on at the version of before. Whoever began a stream had read
        its runner's registration, so a list that is read after that has it.
        """
        if self._sole_origin(service) is None:
            return None
        if not await self._fleet.versions.reads.wait_for_read_after(asked_at, READ_TIMEOUT_S):
            events.log_event(events.VERSIONS_NOT_CURRENT, fleet=service)
            return None
        return self._sole_origin(service)

    async def _ask_until_decided(self, pending: _PendingLookup) -> None:
        while not pending.lookup.decided:
            for peer in pending.lookup.unanswered:
                self._peers.send_queue.enqueue(pending.question, peer)
            with trio.move_on_after(ASK_AGAIN_S):
                await pending.decided.wait()

    def _on_message(self, message: OriginMessage) -> None:
        for digest in message.digests:
            self.memory.remember(digest, message.origin, trio.current_time())

    def _on_question(self, question: OriginQuestion) -> None:
        known = self.memory.find(question.digest, trio.current_time())
        reply = OriginReply(
            self._peers.name,
            question.number,
            known.origin if known else None,
            # Two origins are known of an ambiguous stream, so that no other one can be inferred.
            None if self.memory.is_ambiguous(question.digest) else self._sole_origin(question.service),
            known.age_s if known else 0,
        )
        self._peers.send_queue.enqueue(reply, question.entry)

    def _on_reply(self, reply: OriginReply) -> None:
        pending = self._pending.get(reply.number)
        if pending is None:
            # The question has been decided by other answers.
            return
        pending.lookup.note_answer(reply.entry, OriginAnswer(reply.origin, reply.sole, reply.age_s))
        if pending.lookup.decided:
            pending.decided.set()

    def _first_peers(self, digest: bytes, number: int) -> list[str]:
        return self._holders.first(digest, self._peers.peer_names(), number)

    def _sole_origin(self, service: str) -> StreamOrigin | None:
        return self._fleet.versions.sole_origin(service)


__all__ = ('FROM_OWN_MEMORY', 'OriginExchange')
