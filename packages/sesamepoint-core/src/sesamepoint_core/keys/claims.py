"""Claims on idempotency keys, folded from the log stream of one shard."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import msgspec

from sesamepoint_core.decoding import decode_json
from sesamepoint_core.fold.state import NO_OFFSET

KEY_LIFE_S = 900.0


class Claim(NamedTuple):
    """Claim of one request on its idempotency key.

    Parameters
    ----------
    key
        Hash of the account and the idempotency key.
    owner
        Identity of the claiming request.
    digest
        Hash of the request, to detect a key that is reused for another one.
    """

    key: str
    owner: str
    digest: str


class Batch(NamedTuple):
    """Claims and releases that a process that owns the shard wrote as one record.

    Parameters
    ----------
    writer
        Incarnation of the writing process.
    serial
        Number that the writer counts up; a repeated append carries the same number.
    written_at
        Wall clock time of the writer, in seconds.
    claims
        New claims.
    releases
        Pairs of key and owner that are given up.
    """

    writer: str
    serial: int
    written_at: float
    claims: tuple[Claim, ...]
    releases: tuple[tuple[str, str], ...]


class KeyClaims:
    """Owner of each key: the request whose claim comes first on the log.

    Every process that reads the shard's stream gets the same owners, so two
    processes that own the shard at once, or one after the other, cannot both
    let requests with the same key run.
    """

    def __init__(self) -> None:
        """Start with no claims, before the first record."""
        self.offset = NO_OFFSET
        self._claims: OrderedDict[str, tuple[Claim, float]] = OrderedDict()
        self._last_serials: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of claimed keys."""
        return len(self._claims)

    def valid_claim(self, key: str, now: float) -> Claim | None:
        """Return the claim on ``key`` that is valid at a wall clock time in seconds, or None."""
        claim, claimed_at = self._claims.get(key, (None, 0))
        return claim if now - claimed_at <= KEY_LIFE_S else None

    def apply(self, offset: int, payload: bytes) -> Batch:
        """Apply one encoded batch.

        Raises
        ------
        UndecodableError
            If the payload is not a batch.
        """
        batch = decode_json(payload, Batch)
        self.offset = offset
        # A batch is appended again if the reply was lost. The second copy must
        # not claim keys again that were released in between.
        if batch.serial > self._last_serials.get(batch.writer, 0):
            self._last_serials[batch.writer] = batch.serial
            self._apply_batch(batch)
        return batch

    def _apply_batch(self, batch: Batch) -> None:
        self._expire(batch.written_at)
        for key, owner in batch.releases:
            held = self._claims.get(key)
            if held is not None and held[0].owner == owner:
                self._claims.pop(key)
        for claim in batch.claims:
            if claim.key not in self._claims:
                self._claims[claim.key] = (claim, batch.written_at)

    def _expire(self, now: float) -> None:
        while self._claims:
            key, (_, claimed_at) = next(iter(self._claims.items()))
            if now - claimed_at <= KEY_LIFE_S:
                return
            self._claims.pop(key)


def encode_batch(batch: Batch) -> bytes:
    """Return the encoded batch to append."""
    return msgspec.json.encode(batch)


__all__ = ('KEY_LIFE_S', 'Batch', 'Claim', 'KeyClaims', 'encode_batch')
