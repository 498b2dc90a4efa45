"""Sends to engines: recorded here and announced to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
import trio

from sesamepoint_core.serving.engine_load import Stream, Work
from sesamepoint_core.serving.prompt import Part
from sesamepoint_core.serving.runner import StartMs
from sesamepoint.front.backlog import Backlog, Held

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.member import Member

SERIAL_BITS = 30
# Prefills of this many seconds or more are announced in a datagram of their own:
# peers that do not know of one and choose the same engine wait until it ends.
LONG_WORK_S = 0.02
# Longest wait, in seconds, until a long prefill is announced: an announcement to
# 70 peers takes 15 ms on a link of 10 Mbit/s.
ANNOUNCE_S = 0.03


# Bounds on figures from peers, which are other processes. An hour of prefill, or
# more tokens than any engine's memory holds, would keep an engine out of use.
MAX_TOLD_S = 3600
MAX_TOLD_TOKENS = 1_000_000_000
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_TOLD_S)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOLD_TOKENS)]


class Send(NamedTuple):
    """Announcement that an instance sent a prompt, or the KV memory of one, to a runner.

    Parameters
    ----------
    work_s
        Seconds of prefill; 0 if the prefill ran elsewhere.
    tokens
        Memory that the answer takes up; 0 for a prefill alone.
    parts
        Prefix blocks that the runner caches from then on.
    late
        Whether the answer can no longer meet its target latency.
    born_ms
        Start time of the runner's incarnation, in ms since 1970; the state of an earlier one is lost.
    """

    serial: int
    runner: str
    work_s: Seconds
    tokens: Tokens
    parts: tuple[Part, ...]
    late: bool = False
    born_ms: StartMs = 0


class End(NamedTuple):
    """Announcement that the prefill of a send has ended, or the whole send if ``finished``.

    Parameters
    ----------
    lost
        Whether the engine failed to serve the send; None if that is unknown, as
        for a request whose caller has disconnected.
    """

    serial: int
    runner: str
    finished: bool
    born_ms: StartMs = 0
    lost: bool | None = None


class NewLoad(NamedTuple):
    """Load that a send adds to a member; the fields are those of :class:`Send`."""

    member: Member
    work_s: float
    tokens: int
    late: bool = False


class Word(msgspec.Struct, frozen=True, array_like=True, tag='sends'):
    """Update with the sends of one instance since its last update."""

    entry: str
    sends: tuple[Send, ...]
    ends: tuple[End, ...]
    held: tuple[Held, ...] = ()


class SendNotes:
    """Keeps the modelled load and cache of runners in step with the sends of all instances."""

    def __init__(self, entry: str, fleet: Fleet, rng: Random) -> None:
        """Update the members of ``fleet``; the name is that of this instance."""
        self.backlog = Backlog()
        self.fresh = trio.Event()
        self.urgent = trio.Event()
        # Set when all that was pending has been sent to the peers.
        self.told = trio.Event()
        self._entry = entry
        self._long: set[int] = set()
        self._fleet = fleet
        self._sends: list[Send] = []
        self._ends: list[End] = []
        # Starts at random, so that a restarted instance can't end sends of its former incarnation.
        self._serial = rng.getrandbits(SERIAL_BITS)

    def begin(self, load: NewLoad, parts: Sequence[Part]) -> End:
        """Record a send to an engine; pass the returned object to :meth:`end`."""
        self._serial += 1
        runner = load.member.runner
        send = Send(
            serial=self._serial,
            runner=runner.key,
            work_s=load.work_s,
            tokens=load.tokens,
            parts=tuple(parts),
            late=load.late,
            born_ms=runner.born_ms,
        )
        self._apply(self._entry, send)
        self._sends.append(send)
        self.fresh.set()
        if send.work_s >= LONG_WORK_S:
            self._long.add(send.serial)
            self.urgent.set()
        return End(send.serial, runner.key, finished=False, born_ms=runner.born_ms)

    def end(self, end: End) -> None:
        """Record the end of a prefill or of a whole send."""
        self._finish(self._entry, end)
        self._ends.append(end)
        self.fresh.set()
        if end.serial in self._long:
            self._long.discard(end.serial)
            self.urgent.set()

    def heard(self, word: Word) -> None:
        """Apply an update from a peer."""
        self.backlog.heard(word.entry, word.held)
        for send in word.sends:
            self._apply(word.entry, send)
        for end in word.ends:
            self._finish(word.entry, end)

    async def announced(self, end: End) -> None:
        """Wait until the send that ``end`` will end is announced to peers, if its prefill is long.

        The announcement must leave before the body of the request: behind 60 kB
        it arrives 50 ms later or gets lost.
        """
        if end.serial in self._long:
            with trio.move_on_after(ANNOUNCE_S):
                await self.told.wait()

    def drain(self) -> Word:
        """Return the update that is pending for peers, and start an empty one."""
        update = Word(self._entry, tuple(self._sends), tuple(self._ends), self.backlog.own)
        self._sends = []
        self._ends = []
        self.fresh = trio.Event()
        self.urgent = trio.Event()
        self.told = trio.Event()
        return update

    def _apply(self, entry: str, send: Send) -> None:
        member = self._fleet.at_start(send.runner, send.born_ms)
        if member is None:
            return
        now = trio.current_time()
        work_id = _name(entry, send.serial)
        member.cache.touch(send.parts, work_id if send.work_s else '')
        if send.work_s:
            member.load.add_work(work_id, Work(send.work_s, now))
        if send.tokens:
            member.load.add_stream(work_id, Stream(send.tokens, now, send.late))

    def _finish(self, entry: str, end: End) -> None:
        member = self._fleet.at_start(end.runner, end.born_ms)
        if member is None:
            return
        work_id = _name(entry, end.serial)
        member.load.read(work_id, trio.current_time())
        member.cache.read(work_id)
        if end.finished:
            member.load.finished(work_id)
        if end.lost is not None:
            member.losses.note(trio.current_time(), lost=end.lost)


def _name(entry: str, serial: int) -> str:
    return f'{entry} {serial}'


__all__ = ('LONG_WORK_S', 'End', 'NewLoad', 'Send', 'SendNotes', 'Word')
