"""Coordinator of one shard of idempotency keys, which appends claims to the log in batches."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.keys.claims import KEY_LIFE_S, Batch, Claim, KeyClaims, encode_batch
from sesamepoint.control.notifier import Notifier
from sesamepoint.keys.messages import ClaimReply, ClaimRequest, KeyStatus, SettleReply, SettleRequest
from sesamepoint.link.messages import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.platform.service_interfaces import LogPage, LogService

POLL_WAIT_S = 5.0
RETRY_S = 0.2
REPLY_TIMEOUT_S = 0.8
MAX_BATCH = 500
APPEND_INTERVAL_S = 0.05
MAX_STORED_BYTES = 16_777_216


class StoredAnswer(NamedTuple):
    """Outcome and answer of a claim owner's run."""

    owner: str
    outcome: AttemptOutcome
    code: str
    chunks: tuple[bytes, ...]


class ShardCoordinator:
    """State of one shard: valid claims, claims to be written, stored answers.

    A coordinator only batches claims and has no authority over them: the
    order of the shard's stream decides whether a claim is valid.

    Parameters
    ----------
    log
        Log service of the platform.
    stream
        Name of the shard's stream.
    writer
        Writer name in the batches: the process's incarnation and the shard.
    wall
        The wall clock, in seconds.
    """

    def __init__(self, log: LogService, stream: str, writer: str, wall: Callable[[], float]) -> None:
        """Start without claims; :meth:`run` reads them from the stream."""
        self._log = log
        self._stream = stream
        self._writer = writer
        self._wall = wall
        self._fold = KeyClaims()
        self._changed = Notifier()
        self._pending: dict[str, Claim] = {}
        self._releases: dict[str, tuple[str, str]] = {}
        self._answers: OrderedDict[str, StoredAnswer] = OrderedDict()
        self._answer_bytes = 0
        self._run_deadlines: dict[str, float] = {}
        self._serial = 0
        self._complete_at = float('inf')
        self._first_written_at: float | None = None

    async def run(self) -> None:
        """Follow the shard's stream and append pending claims and releases."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._write)

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Reply within a short timeout; the client repeats the claim if needed."""
        with trio.move_on_after(REPLY_TIMEOUT_S):
            while self._wall() < self._complete_at:
                await self._changed.wait()
            return await self._claim(req)
        return ClaimReply(KeyStatus.unavailable)

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Store the outcome of the owner's run, or release a key whose run did not start."""
        await trio.lowlevel.checkpoint()
        claim = req.claim
        self._run_deadlines.pop(claim.owner, None)
        if req.outcome is AttemptOutcome.not_started:
            self._pending.pop(claim.owner, None)
            self._releases[claim.owner] = (claim.key, claim.owner)
        else:
            self._store_answer(claim.key, StoredAnswer(claim.owner, req.outcome, req.code, req.chunks))
        self._changed.notify_all()
        return SettleReply(stored=claim.key in self._answers)

    async def _claim(self, req: ClaimRequest) -> ClaimReply:
        claim = req.claim
        while True:
            held = self._fold.valid_claim(claim.key, self._wall())
            if held is None:
                self._enqueue_claim(req)
                await self._changed.wait()
            elif held.owner == claim.owner:
                return ClaimReply(KeyStatus.granted)
            else:
                return await self._reply_to_other(held, claim)

    async def _reply_to_other(self, held: Claim, claim: Claim) -> ClaimReply:
        if held.digest != claim.digest:
            return ClaimReply(KeyStatus.reused)
        reply_deadline = trio.current_time() + REPLY_TIMEOUT_S / 2
        while self._run_deadlines.get(held.owner, 0) > trio.current_time():
            if not await self._changed.wait_with_timeout(reply_deadline - trio.current_time()):
                return ClaimReply(KeyStatus.running)
        kept = self._answers.get(claim.key)
        if kept is not None and kept.owner == held.owner:
            return ClaimReply(KeyStatus.done, kept.outcome, kept.code, kept.chunks)
        return ClaimReply(KeyStatus.unknown)

    def _enqueue_claim(self, req: ClaimRequest) -> None:
        # Signal only for a new claim: otherwise two waiting claims would wake
        # each other without end and keep the process busy.
        owner = req.claim.owner
        if owner not in self._pending:
            self._pending[owner] = req.claim
            # The run counts as in progress from here, not from the grant:
            # another request may see the claim in the log first and would get
            # `unknown`.
            self._run_deadlines[owner] = trio.current_time() + req.timeout_s
            self._changed.notify_all()

    def _store_answer(self, key: str, answer: StoredAnswer) -> None:
        # A client whose reply was lost reports the outcome again. Counting its
        # bytes twice would evict other answers.
        previous = self._answers.pop(key, None)
        if previous is not None:
            self._answer_bytes -= sum(map(len, previous.chunks))
        self._answers[key] = answer
        self._answer_bytes += sum(map(len, answer.chunks))
        while self._answer_bytes > MAX_STORED_BYTES:
            _, oldest = self._answers.popitem(last=False)
            self._answer_bytes -= sum(map(len, oldest.chunks))

    async def _follow(self) -> None:
        first = True
        while True:
            try:
                page = await self._log.read(self._stream, self._fold.offset + 1, 0 if first else POLL_WAIT_S)
            except PlatformUnavailableError:
                await trio.sleep(RETRY_S)
                continue
            self._apply_page(page)
            if first and self._fold.offset + 1 >= page.end:
                first = False
                self._complete_at = self._complete_from(page)
            self._changed.notify_all()

    def _apply_page(self, page: LogPage) -> None:
        for record in page.records:
            batch = self._fold.apply(record.offset, record.payload)
            if self._first_written_at is None:
                self._first_written_at = batch.written_at
            for claim in batch.claims:
                self._pending.pop(claim.owner, None)

    def _complete_from(self, page: LogPage) -> float:
        """Return the wall clock time from which no valid claim can be missing.

        If the beginning of the stream was trimmed, a claim that is still
        valid may be missing; granting its key would cause a second run.
        """
        if page.earliest == 0:
            return 0
        first_at = self._wall() if self._first_written_at is None else self._first_written_at
        return first_at + KEY_LIFE_S

    async def _write(self) -> None:
        while True:
            if self._pending or self._releases:
                await self._write_batch()
            else:
                await self._changed.wait()

    async def _write_batch(self) -> None:
        """Append the claims and releases that arrived during the last append."""
        claims = tuple(self._pending.values())[:MAX_BATCH]
        releases = tuple(self._releases.values())[:MAX_BATCH]
        self._serial += 1
        batch = Batch(self._writer, self._serial, self._wall(), claims, releases)
        try:
            offset = await self._log.append(self._stream, encode_batch(batch))
        except PlatformUnavailableError:
            # The batch may have been written all the same. Then its claims
            # appear in the stream; those still pending go into the next batch.
            await trio.sleep(RETRY_S)
            return
        for _, owner in releases:
            self._releases.pop(owner)
        # Under load all shards together must stay within the log's rate of
        # appends; a single claim is still written at once.
        await trio.sleep(APPEND_INTERVAL_S)
        while self._fold.offset < offset:
            await self._changed.wait()


__all__ = ('ShardCoordinator',)
