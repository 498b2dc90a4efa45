"""Outcomes of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class Answered:
    """The whole answer was delivered to the caller."""

    tag: ClassVar[str] = 'answered'
    chunks: int
    late: bool


@dataclass(frozen=True)
class NotRun:
    """The request did not reach an upstream and will not reach one."""

    tag: ClassVar[str] = 'not_run'
    code: str
    remedy: str
    retry_after_s: float


@dataclass(frozen=True)
class Unknown:
    """The request may or may not have run."""

    tag: ClassVar[str] = 'unknown'
    code: str
    remedy: str


@dataclass(frozen=True)
class Failed:
    """The request ran, but its upstream gave no complete answer."""

    tag: ClassVar[str] = 'failed'
    code: str
    remedy: str


Outcome = Answered | NotRun | Unknown | Failed

__all__ = ('Answered', 'Failed', 'NotRun', 'Outcome', 'Unknown')
