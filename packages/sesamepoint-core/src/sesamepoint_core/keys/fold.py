"""The fold over one shard's stream of claims."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import msgspec

from sesamepoint_core.fold.state import NEVER

KEY_LIFE_S = 900.0


class Claim(NamedTuple):
    """One request's claim on its key.

    Parameters
    ----------
    key
        Hash of account and key.
    owner
        Identity of the request that claims.
    digest
        Hash of what was asked, to tell a key that is used twice over.
    """

    key: str
    owner: str
    digest: str


class Batch(NamedTuple):
    """Claims and releases that one home gathered.

    ``at`` is the writer's wall clock in seconds; ``serial`` its count.
    """

    writer: str
    serial: int
    at: float
    claims: tuple[Claim, ...]
    releases: tuple[tuple[str, str], ...]


class KeyFold:
    """Which request owns which key; the first claim on the log wins.

    Every home that folds the shard's stream comes to the same answer, so
    two homes at once, or one that took over, cannot both let a key run.
    """

    def __init__(self) -> None:
        """Start before the first batch."""
        self.offset = NEVER
        self._claims: OrderedDict[str, tuple[Claim, float]] = OrderedDict()
        self._serials: dict[str, int] = {}

    def __len__(self) -> int:
        """Count the keys that are held."""
        return len(self._claims)

    def owner(self, key: str, at: float) -> Claim | None:
        """Return the claim that holds ``key`` at time ``at``."""
        claim, claimed_at = self._claims.get(key, (None, 0))
        return claim if at - claimed_at <= KEY_LIFE_S else None

    def apply(self, offset: int, payload: bytes) -> Batch:
        """Fold one batch.

        Raises
        ------
        msgspec.DecodeError
            If the payload is none of ours.
        """
        batch = msgspec.json.decode(payload, type=Batch)
        self.offset = offset
        # The second copy of a batch whose reply was lost must not claim
        # again what was released in between.
        if batch.serial > self._serials.get(batch.writer, 0):
            self._serials[batch.writer] = batch.serial
            self._take(batch)
        return batch

    def _take(self, batch: Batch) -> None:
        self._expire(batch.at)
        for key, owner in batch.releases:
            held = self._claims.get(key)
            if held is not None and held[0].owner == owner:
                self._claims.pop(key)
        for claim in batch.claims:
            if claim.key not in self._claims:
                self._claims[claim.key] = (claim, batch.at)

    def _expire(self, now: float) -> None:
        while self._claims:
            key, (_, claimed_at) = next(iter(self._claims.items()))
            if now - claimed_at <= KEY_LIFE_S:
                return
            self._claims.pop(key)


def encode_batch(batch: Batch) -> bytes:
    """Return the bytes to append."""
    return msgspec.json.encode(batch)


__all__ = ('KEY_LIFE_S', 'Batch', 'Claim', 'KeyFold', 'encode_batch')
