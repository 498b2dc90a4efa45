"""What this entry sends to engines: counted here and told to its peers."""

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
# Reads of this many seconds are worth a datagram of their own: others that
# chose the same engine in ignorance would wait for all of it.
LONG_WORK_S = 0.02
# Long work waits for its word to go out no longer than this, in seconds: a word
# to 70 entries takes a link of 10 Mbit/s 15 ms.
ANNOUNCE_S = 0.03


# Peers are other processes: what they tell is bounded before it is believed.
# An hour of work, and as many tokens as no engine's memory holds, would keep
# an engine out of use.
MAX_TOLD_S = 3600
MAX_TOLD_TOKENS = 1_000_000_000
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_TOLD_S)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOLD_TOKENS)]


class Send(NamedTuple):
    """A prompt, or the memory of one, that an entry sent to a runner.

    Parameters
    ----------
    work_s
        Seconds of reading; 0 if the prompt was read elsewhere.
    tokens
        Memory that the answer takes up; 0 if only the prompt is read.
    parts
        What the runner holds from then on.
    late
        Whether the answer can't be on time any more.
    born_ms
        The start of the runner that got it; what an earlier one had is gone.
    """

    serial: int
    runner: str
    work_s: Seconds
    tokens: Tokens
    parts: tuple[Part, ...]
    late: bool = False
    born_ms: StartMs = 0


class End(NamedTuple):
    """The end of a send: its prompt is read, or all is ``finished``.

    Parameters
    ----------
    lost
        Whether the engine failed to give what was asked of it; None if that
        can't be told, as of a request whose caller has left.
    """

    serial: int
    runner: str
    finished: bool
    born_ms: StartMs = 0
    lost: bool | None = None


class NewLoad(NamedTuple):
    """What a send puts on a member; the fields are those of :class:`Send`."""

    member: Member
    work_s: float
    tokens: int
    late: bool = False


class Word(msgspec.Struct, frozen=True, array_like=True, tag='sends'):
    """What one entry tells the others at a time."""

    entry: str
    sends: tuple[Send, ...]
    ends: tuple[End, ...]
    held: tuple[Held, ...] = ()


class SendNotes:
    """Keeps the models of runners in step with all entries' sends."""

    def __init__(self, entry: str, fleet: Fleet, rng: Random) -> None:
        """Update the members of ``fleet``; ``entry`` is this one's name."""
        self.backlog = Backlog()
        self.fresh = trio.Event()
        self.urgent = trio.Event()
        # Set when the peers have been told what has come until now.
        self.told = trio.Event()
        self._entry = entry
        self._long: set[int] = set()
        self._fleet = fleet
        self._sends: list[Send] = []
        self._ends: list[End] = []
        # A restarted entry must not end the work of the one before it.
        self._serial = rng.getrandbits(SERIAL_BITS)

    def begin(self, load: NewLoad, parts: Sequence[Part]) -> End:
        """Note a send to an engine; pass what this returns to :meth:`end`."""
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
        """Note that the prompt is read, or that all is finished."""
        self._finish(self._entry, end)
        self._ends.append(end)
        self.fresh.set()
        if end.serial in self._long:
            self._long.discard(end.serial)
            self.urgent.set()

    def heard(self, word: Word) -> None:
        """Take in what a peer told."""
        self.backlog.heard(word.entry, word.held)
        for send in word.sends:
            self._apply(word.entry, send)
        for end in word.ends:
            self._finish(word.entry, end)

    async def announced(self, end: End) -> None:
        """Wait until peers were told of the send that ``end`` will end, if it is long work.

        The word has to be on the link before the body is: behind 60 kB it
        comes 50 ms later, or gets lost.
        """
        if end.serial in self._long:
            with trio.move_on_after(ANNOUNCE_S):
                await self.told.wait()

    def drain(self) -> Word:
        """Return what peers have not been told yet."""
        word = Word(self._entry, tuple(self._sends), tuple(self._ends), self.backlog.own)
        self._sends = []
        self._ends = []
        self.fresh = trio.Event()
        self.urgent = trio.Event()
        self.told = trio.Event()
        return word

    def _apply(self, entry: str, send: Send) -> None:
        member = self._fleet.at_start(send.runner, send.born_ms)
        if member is None:
            return
        now = trio.current_time()
        name = _name(entry, send.serial)
        member.cache.touch(send.parts, name if send.work_s else '')
        if send.work_s:
            member.load.add_work(name, Work(send.work_s, now))
        if send.tokens:
            member.load.add_stream(name, Stream(send.tokens, now, send.late))

    def _finish(self, entry: str, end: End) -> None:
        member = self._fleet.at_start(end.runner, end.born_ms)
        if member is None:
            return
        name = _name(entry, end.serial)
        member.load.read(name, trio.current_time())
        member.cache.read(name)
        if end.finished:
            member.load.finished(name)
        if end.lost is not None:
            member.losses.note(trio.current_time(), lost=end.lost)


def _name(entry: str, serial: int) -> str:
    return f'{entry} {serial}'


__all__ = ('LONG_WORK_S', 'End', 'NewLoad', 'Send', 'SendNotes', 'Word')
