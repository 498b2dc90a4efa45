"""Typed messages about idempotency keys."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sesamepoint_core.keys.fold import Claim
from sesamepoint.link.messages import End


class Standing(Enum):
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

    standing: Standing
    end: End = End.unknown
    code: str = ''
    chunks: tuple[bytes, ...] = ()


class SettleRequest(NamedTuple):
    """Report how the owner's run ended."""

    shard: int
    claim: Claim
    end: End
    code: str
    chunks: tuple[bytes, ...]


class SettleReply(NamedTuple):
    """Reply to a report: whether an answer is stored under the key."""

    kept: bool


__all__ = ('ClaimReply', 'ClaimRequest', 'SettleReply', 'SettleRequest', 'Standing')
