"""Typed messages about idempotency keys."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sesamepoint_core.keys.claims import Claim
from sesamepoint.link.messages import AttemptOutcome


class KeyStatus(Enum):
    """Status of a key for the request that claims it."""

    granted = 'granted'
    running = 'running'
    done = 'done'
    unknown = 'unknown'
    reused = 'reused'
    unavailable = 'unavailable'


class ClaimRequest(NamedTuple):
    """Claim a key, or ask for the outcome of the run under it."""

    shard: int
    claim: Claim
    timeout_s: float


class ClaimReply(NamedTuple):
    """Status of the key, with the stored answer if the run is done."""

    status: KeyStatus
    outcome: AttemptOutcome = AttemptOutcome.unknown
    code: str = ''
    chunks: tuple[bytes, ...] = ()


class SettleRequest(NamedTuple):
    """Report how the owner's run ended."""

    shard: int
    claim: Claim
    outcome: AttemptOutcome
    code: str
    chunks: tuple[bytes, ...]


class SettleReply(NamedTuple):
    """Reply to a report: whether an answer is stored under the key."""

    stored: bool


__all__ = ('ClaimReply', 'ClaimRequest', 'KeyStatus', 'SettleReply', 'SettleRequest')
