"""Reads of a topic, and further reads by other connections while the first is silent."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint import events
from sesamepoint.front.store.polling_turns import TAKEOVER_MARGIN_S
from sesamepoint.platform.store import HistoryGoneError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint.platform.store import StoreClient, TopicRecords
    from sesamepoint.platform.store_epoch import StoreEpoch

    Read = Callable[[], Awaitable[TopicRecords]]

# How long a read may be silent, a held one beyond its wait, once the one before was, in seconds: the poll ends before
# peers miss its update and poll as well, each of them with silent reads.
KNOWN_SILENCE_S = TAKEOVER_MARGIN_S / 2
# Timeout of a page of a list that is read in place of the log, in seconds.
LIST_TIMEOUT_S = 1.0


class StoreClients(NamedTuple):
    """Clients for held reads, short reads and lists, each with a connection of its own, since any may be silent."""

    held: StoreClient
    short: StoreClient
    lists: StoreClient


class HedgedReads:
    """Follows a topic by reads that the store holds until there are changes.

    Such a read may stay without an answer though the store serves all other calls. Waiting for its timeout and then
    for the pause after a failure took up to the whole time within which a leaving runner must be known. So a read
    that is silent beyond its wait is followed by a short one on another connection; the first answer counts.
    Where short reads of the log are silent as well, the whole list is read in their place, if the caller allows it.
    """

    def __init__(self, clients: StoreClients, topic: str, silence_s: float) -> None:
        """Send a further read once one has been silent for ``silence_s`` seconds, a held one beyond its wait."""
        self.silence_s = silence_s
        # Short reads that were sent in place of silent held ones, and lists in place of silent reads of the log.
        self.hedges = 0
        self.lists = 0
        self._clients = clients
        self._topic = topic
        self._held_silent = False
        self._log_silent = False

    @property
    def epoch(self) -> StoreEpoch:
        """Return the newest epoch that the store has sent."""
        return self._clients.held.epoch

    async def read_newest(self, topic: str, page_timeout_s: float) -> TopicRecords:
        """Return the newest record of each key; errors are those of the client."""
        return await self._clients.held.read_newest(topic, page_timeout_s)

    async def follow(self, topic: str, start: int, wait_s: float, *, list_instead: bool = False) -> TopicRecords:
        """Return the records from ``start`` on; wait up to ``wait_s`` for the first.

        With ``list_instead`` the answer may be the newest records of all keys, if reads of the log are silent.

        Raises
        ------
        HistoryGoneError
            If the records at ``start`` were deleted or never existed.
        PlatformUnavailableError
            If the store did not respond.
        """
        race = _Race()
        # With a held read as well, the poll would last longer than peers wait for its update, and they would poll too.
        known_silent = list_instead and self._log_silent
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            if wait_s and not known_silent:
                nursery.start_soon(self._read_held, race, scope, start, wait_s)
                await trio.sleep(wait_s + self._patience_s(known=self._held_silent))
                self._note_held_silent(start)
            race.note_log_read()
            nursery.start_soon(self._read_short, race, scope, start)
            if list_instead:
                await trio.sleep(self._list_after_s(wait_s, known_silent=known_silent))
                await self._read_list(race, scope, start)
        return race.outcome()

    def _patience_s(self, *, known: bool) -> float:
        """Return how long a read may be silent, in seconds; less if the one before is known to have been."""
        return min(KNOWN_SILENCE_S, self.silence_s) if known else self.silence_s

    def _list_after_s(self, wait_s: float, *, known_silent: bool) -> float:
        """Return how long after a short read the list is read, in seconds.

        Where silence is known no held read comes before, and the short one gets its time.
        """
        patience_s = self._patience_s(known=known_silent)
        return wait_s + patience_s if known_silent else patience_s

    async def _read_held(self, race: _Race, scope: trio.CancelScope, start: int, wait_s: float) -> None:
        race.note_log_read()
        answered = await race.answer(lambda: self._clients.held.follow(self._topic, start, wait_s))
        if answered:
            self._note_log_answered()
            if self._held_silent:
                self._held_silent = False
                events.log_event(events.HELD_READS_ANSWERED, topic=self._topic)
        if answered or race.log_reads == 1:
            # A failure before the short read began ends the call, as without it.
            scope.cancel()

    async def _read_short(self, race: _Race, scope: trio.CancelScope, start: int) -> None:
        client = self._clients.short if race.log_reads > 1 else self._clients.held
        if await race.answer(lambda: client.follow(self._topic, start, 0)):
            self._note_log_answered()
            scope.cancel()

    async def _read_list(self, race: _Race, scope: trio.CancelScope, start: int) -> None:
        if race.failed:
            # The store has refused a read of the log, and is not silent.
            return
        self._note_log_silent(start)
        if await race.answer(lambda: self._clients.lists.read_newest(self._topic, LIST_TIMEOUT_S)):
            scope.cancel()

    def _note_held_silent(self, start: int) -> None:
        self.hedges += 1
        if not self._held_silent:
            self._held_silent = True
            events.log_event(events.HELD_READ_SILENT, topic=self._topic, start=start, silent_s=self.silence_s)

    def _note_log_silent(self, start: int) -> None:
        self.lists += 1
        if not self._log_silent:
            self._log_silent = True
            events.log_event(events.LOG_READS_SILENT, topic=self._topic, start=start, silent_s=self.silence_s)

    def _note_log_answered(self) -> None:
        if self._log_silent:
            self._log_silent = False
            events.log_event(events.LOG_READS_ANSWERED, topic=self._topic)


class _Race:
    """The first answer of several reads; without any, the first error."""

    def __init__(self) -> None:
        """Start without an answer."""
        # Number of reads of the log that have begun.
        self.log_reads = 0
        self._found: TopicRecords | None = None
        self._error: HistoryGoneError | PlatformUnavailableError | None = None

    @property
    def failed(self) -> bool:
        """Tell whether a read has failed."""
        return self._error is not None

    def note_log_read(self) -> None:
        """Note that a read of the log begins."""
        self.log_reads += 1

    async def answer(self, read: Read) -> bool:
        """Read; return whether that settles the race."""
        try:
            self._found = await read()
        except (HistoryGoneError, PlatformUnavailableError) as exc:
            self._error = self._error or exc
            if isinstance(exc, HistoryGoneError):
                # That the history is gone is an answer.
                self._error = exc
                return True
            return False
        return True

    def outcome(self) -> TopicRecords:
        """Return the answer, or raise the error."""
        if self._found is not None:
            return self._found
        assert self._error is not None
        raise self._error


__all__ = ('HedgedReads', 'StoreClients')
