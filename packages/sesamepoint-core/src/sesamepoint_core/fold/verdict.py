"""What the fold decides about one record."""

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
    """The record is void for everybody, for ever."""

    tag: ClassVar[str] = 'rejected'
    offset: int
    code: str
    reason: str
    remedy: str


@dataclass(frozen=True)
class Repeated:
    """The record was on the log before; this copy has no effect."""

    tag: ClassVar[str] = 'repeated'
    offset: int


Verdict = Accepted | Rejected | Repeated

__all__ = ('Accepted', 'Rejected', 'Repeated', 'Verdict')
