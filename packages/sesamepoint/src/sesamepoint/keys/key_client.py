"""Client of an instance that claims idempotency keys and reports the outcome of runs."""

from __future__ import annotations

import hashlib
import zlib
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import LinkLostError
from sesamepoint_core.keys.claims import Claim
from sesamepoint.keys.messages import ClaimReply, ClaimRequest, KeyStatus, SettleRequest
from sesamepoint.link.messages import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint.entry.fleets import Fleets
    from sesamepoint.entry.request import CallerRequest
    from sesamepoint.entry.runner_view import RunnerView

SHARD_COUNT = 8
UNAVAILABLE_TIMEOUT_S = 2.0
SETTLE_ATTEMPTS = 3
CLAIM_RETRY_S = 0.05
DIGEST_BYTES = 12


class KeyClient:
    """Calls the coordinator of a key's shard."""

    def __init__(self, fleets: Fleets) -> None:
        """Use the agents of ``fleets`` as coordinators."""
        self._fleets = fleets

    async def claim(self, claim: Claim, timeout_s: float) -> ClaimReply:
        """Repeat the claim until it gets a final reply or the time is up.

        While a run under the key is in progress elsewhere, this waits until
        the deadline. If the coordinator can't be reached or can't write, it
        waits only briefly, so that the caller soon learns that nothing ran.
        """
        deadline = trio.current_time() + timeout_s
        coordinator_deadline = min(deadline, trio.current_time() + UNAVAILABLE_TIMEOUT_S)
        while True:
            reply = await self._claim_once(claim, deadline - trio.current_time())
            wait_until = deadline if reply.status is KeyStatus.running else coordinator_deadline
            final = reply.status not in {KeyStatus.running, KeyStatus.unavailable}
            if final or trio.current_time() >= wait_until:
                return reply
            await trio.sleep(CLAIM_RETRY_S)

    async def settle(self, claim: Claim, end: AttemptOutcome, code: str, chunks: Sequence[bytes]) -> None:
        """Report to the coordinator how the run ended.

        Without this report later claims on the key get the status `unknown`.
        """
        req = SettleRequest(shard_of(claim.key), claim, end, code, tuple(chunks))
        for _ in range(SETTLE_ATTEMPTS):
            view = self._coordinator(req.shard)
            if view is None:
                return
            generation = view.link.generation
            try:
                await view.link.settle(req)
            except LinkLostError:
                view.link.renew(generation)
            else:
                return

    async def _claim_once(self, claim: Claim, timeout_s: float) -> ClaimReply:
        shard = shard_of(claim.key)
        view = self._coordinator(shard)
        if view is None:
            return ClaimReply(KeyStatus.unavailable)
        generation = view.link.generation
        try:
            return await view.link.claim(ClaimRequest(shard, claim, timeout_s))
        except LinkLostError:
            view.link.renew(generation)
            return ClaimReply(KeyStatus.unavailable)

    def _coordinator(self, shard: int) -> RunnerView | None:
        """Return the agent that coordinates a shard.

        Instances with different views of which agents are alive choose
        different coordinators. Answers are then stored separately, but the
        order of the log still decides claims.
        """
        alive = [view for view in self._fleets.views.values() if view.alive]
        return max(alive, key=lambda view: zlib.crc32(f'{shard} {view.name}'.encode()), default=None)


def make_claim(req: CallerRequest, owner: str) -> Claim:
    """Return a request's claim on its idempotency key, which is scoped to its account."""
    key = _digest(req.account.encode(), req.key.encode())
    return Claim(key, owner, _digest(req.job.method.encode(), req.job.path.encode(), req.job.body))


def shard_of(key: str) -> int:
    """Return the shard that a key belongs to."""
    return zlib.crc32(key.encode()) % SHARD_COUNT


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return digest.hexdigest()


__all__ = ('SHARD_COUNT', 'KeyClient', 'make_claim', 'shard_of')
