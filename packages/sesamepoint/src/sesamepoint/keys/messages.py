"""Typed messages about idempotency keys."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sesamepoint_core.keys.fold import Claim
from sesamepoint.link.messages import End


class Standing(Enum):
    """How a key stands for the request that asks."""

    granted = 'granted'
    running = 'running'
    done = 'done'
    unknown = 'unknown'
    reused = 'reused'
    unavailable = 'unavailable'


class ClaimRequest(NamedTuple):
    """Ask for the right to run, or for what became of the run."""

    shard: int
    claim: Claim
    timeout_s: float


class ClaimReply(NamedTuple):
    """How the key stands; with the kept answer if it is done."""

    standing: Standing
    end: End = End.unknown
    code: str = ''
    chunks: tuple[bytes, ...] = ()


class SettleRequest(NamedTuple):
    """Tell the home how the owner's run ended."""

    shard: int
    claim: Claim
    end: End
    code: str
    chunks: tuple[bytes, ...]


class SettleReply(NamedTuple):
    """The home's receipt."""

    kept: bool


__all__ = ('ClaimReply', 'ClaimRequest', 'SettleReply', 'SettleRequest', 'Standing')
