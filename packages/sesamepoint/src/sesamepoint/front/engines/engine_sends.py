"""Sends to engines: recorded here and announced to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
import trio

from sesamepoint_core.field_types import Tokens
from sesamepoint_core.serving.engine_load import PrefillWork, Stream
from sesamepoint_core.serving.prompt import Part
from sesamepoint_core.serving.runner import StartMs
from sesamepoint.front.engines.backlog import Backlog, QueuedWork

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.fleet_member import Member

FIRST_SERIAL_BITS = 30
# Prefills of this many seconds or more are announced in a datagram of their own:
# peers that do not know of one and choose the same engine wait until it ends.
LONG_PREFILL_S = 0.02
# Longest wait, in seconds, until a long prefill is announced: an announcement to
# 70 peers takes 15 ms on a link of 10 Mbit/s.
MAX_ANNOUNCE_WAIT_S = 0.03


# Bound on figures from peers, which are other processes. More than an hour of prefill would keep an engine out of use.
MAX_PREFILL_S = 3600
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_PREFILL_S)]


class Send(NamedTuple):
    """Announcement that an instance sent a prompt, or the KV memory of one, to a runner.

    Parameters
    ----------
    prefill_s
        Seconds of prefill; 0 if the prefill ran elsewhere.
    tokens
        Memory that the answer takes up; 0 for a prefill alone.
    blocks
        Prefix blocks that the runner caches from then on.
    past_deadline
        Whether the answer can no longer meet its target latency.
    born_ms
        Start time of the runner's incarnation, in ms since 1970; the state of an earlier one is lost.
    """

    serial: int
    runner: str
    prefill_s: Seconds
    tokens: Tokens
    blocks: tuple[Part, ...]
    past_deadline: bool = False
    born_ms: StartMs = 0


class SendEnd(NamedTuple):
    """Announcement that the prefill of a send has ended, or the whole send if ``finished``.

    Parameters
    ----------
    engine_failed
        Whether the engine failed to serve the send; None if that is unknown, as
        for a request whose caller has disconnected.
    """

    serial: int
    runner: str
    finished: bool
    born_ms: StartMs = 0
    engine_failed: bool | None = None


class NewLoad(NamedTuple):
    """Load that a send adds to a member; the fields are those of :class:`Send`."""

    member: Member
    prefill_s: float
    tokens: int
    past_deadline: bool = False


class SendUpdate(msgspec.Struct, frozen=True, array_like=True, tag='sends'):
    """Update with the sends of one instance since its last update."""

    entry: str
    sends: tuple[Send, ...]
    ends: tuple[SendEnd, ...]
    queued: tuple[QueuedWork, ...] = ()


class SendTracker:
    """Keeps the modelled load and cache of runners in step with the sends of all instances."""

    def __init__(self, instance: str, fleet: Fleet, rng: Random) -> None:
        """Update the members of ``fleet``; the name is that of this instance."""
        self.backlog = Backlog()
        self.pending = trio.Event()
        self.flush = trio.Event()
        # Set when all that was pending has been sent to the peers.
        self.flushed = trio.Event()
        self._instance = instance
        self._long_prefills: set[int] = set()
        self._fleet = fleet
        self._sends: list[Send] = []
        self._ends: list[SendEnd] = []
        # Starts at random, so that a restarted instance can't end sends of its former incarnation.
        self._serial = rng.getrandbits(FIRST_SERIAL_BITS)

    def begin(self, load: NewLoad, blocks: Sequence[Part]) -> SendEnd:
        """Record a send to an engine; pass the returned object to :meth:`end`."""
        self._serial += 1
        runner = load.member.runner
        send = Send(
            serial=self._serial,
            runner=runner.key,
            prefill_s=load.prefill_s,
            tokens=load.tokens,
            blocks=tuple(blocks),
            past_deadline=load.past_deadline,
            born_ms=runner.born_ms,
        )
        self._apply(self._instance, send)
        self._sends.append(send)
        self.pending.set()
        if send.prefill_s >= LONG_PREFILL_S:
            self._long_prefills.add(send.serial)
            self.flush.set()
        return SendEnd(send.serial, runner.key, finished=False, born_ms=runner.born_ms)

    def end(self, end: SendEnd) -> None:
        """Record the end of a prefill or of a whole send."""
        self._finish(self._instance, end)
        self._ends.append(end)
        self.pending.set()
        if end.serial in self._long_prefills:
            self._long_prefills.discard(end.serial)
            self.flush.set()

    def prefill_begun_at(self, end: SendEnd) -> float | None:
        """Return when the engine began the prefill that ``end`` will end; None if that is not known."""
        member = self._fleet.at_incarnation(end.runner, end.born_ms)
        return member.load.begun_at(_work_id(self._instance, end.serial)) if member else None

    def on_peer_update(self, update: SendUpdate) -> None:
        """Apply an update from a peer."""
        self.backlog.update_peer(update.entry, update.queued)
        for send in update.sends:
            self._apply(update.entry, send)
        for end in update.ends:
            self._finish(update.entry, end)

    async def wait_announced(self, end: SendEnd) -> None:
        """Wait until the send that ``end`` will end is announced to peers, if its prefill is long.

        The announcement must leave before the body of the request: behind 60 kB
        it arrives 50 ms later or gets lost.
        """
        if end.serial in self._long_prefills:
            with trio.move_on_after(MAX_ANNOUNCE_WAIT_S):
                await self.flushed.wait()

    def take_pending(self) -> SendUpdate:
        """Return the update that is pending for peers, and start an empty one."""
        update = SendUpdate(self._instance, tuple(self._sends), tuple(self._ends), self.backlog.own)
        self._sends = []
        self._ends = []
        self.pending = trio.Event()
        self.flush = trio.Event()
        self.flushed = trio.Event()
        return update

    def _apply(self, instance: str, send: Send) -> None:
        member = self._fleet.at_incarnation(send.runner, send.born_ms)
        if member is None:
            return
        now = trio.current_time()
        work_id = _work_id(instance, send.serial)
        member.cache.touch(send.blocks, work_id if send.prefill_s else '')
        if send.prefill_s:
            member.load.add_prefill(work_id, PrefillWork(send.prefill_s, now))
        if send.tokens:
            member.load.add_stream(work_id, Stream(send.tokens, now, send.past_deadline))

    def _finish(self, instance: str, end: SendEnd) -> None:
        member = self._fleet.at_incarnation(end.runner, end.born_ms)
        if member is None:
            return
        work_id = _work_id(instance, end.serial)
        member.load.end_prefill(work_id, trio.current_time())
        member.cache.end_prefill(work_id)
        if end.finished:
            member.load.end_stream(work_id)
        if end.engine_failed is not None:
            member.losses.observe(trio.current_time(), lost=end.engine_failed)


def _work_id(instance: str, serial: int) -> str:
    return f'{instance} {serial}'


__all__ = ('LONG_PREFILL_S', 'NewLoad', 'Send', 'SendEnd', 'SendTracker', 'SendUpdate')
