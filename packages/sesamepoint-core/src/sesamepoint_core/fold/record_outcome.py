"""Outcomes of one record of the control log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class Accepted:
    """The record took effect."""

    tag: ClassVar[str] = 'accepted'
    offset: int
    version: int


@dataclass(frozen=True)
class Rejected:
    """The record has no effect, for any reader of the log."""

    tag: ClassVar[str] = 'rejected'
    offset: int
    code: str
    reason: str
    remedy: str


@dataclass(frozen=True)
class Repeated:
    """The record is a copy of an earlier one and has no effect."""

    tag: ClassVar[str] = 'repeated'
    offset: int


RecordOutcome = Accepted | Rejected | Repeated

__all__ = ('Accepted', 'RecordOutcome', 'Rejected', 'Repeated')
