"""What became of one attempt at one runner: tagged outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from sesamepoint.http1.messages import ResponseHead


@dataclass(frozen=True)
class Relayed:
    """The runner's whole answer went to the caller."""

    tag: ClassVar[str] = 'relayed'
    status: int


@dataclass(frozen=True)
class Unsent:
    """The runner never got the request."""

    tag: ClassVar[str] = 'unsent'
    cause: str


@dataclass(frozen=True)
class Withheld:
    """The gate to the runner had closed since it was chosen, by ``condition``; nothing was sent."""

    tag: ClassVar[str] = 'withheld'
    condition: str


@dataclass(frozen=True)
class Rejected:
    """The runner stated that it did not run the request.

    ``replaced`` if another incarnation has its address by now.
    """

    tag: ClassVar[str] = 'rejected'
    status: int
    replaced: bool = False


@dataclass(frozen=True)
class RunFailed:
    """The runner ran the request and answered with a failure of its own."""

    tag: ClassVar[str] = 'run_failed'
    head: ResponseHead
    body: bytes


@dataclass(frozen=True)
class Broken:
    """No whole answer came; the request may have run.

    ``ended`` if its runner takes no connections any more, so that it has not
    just lost this answer.
    """

    tag: ClassVar[str] = 'broken'
    cause: str
    ended: bool = False


@dataclass(frozen=True)
class Silent:
    """No sign of an answer came in the time that was allowed."""

    tag: ClassVar[str] = 'silent'


AttemptResult = Relayed | Unsent | Withheld | Rejected | RunFailed | Broken | Silent

__all__ = ('AttemptResult', 'Broken', 'Rejected', 'Relayed', 'RunFailed', 'Silent', 'Unsent', 'Withheld')
