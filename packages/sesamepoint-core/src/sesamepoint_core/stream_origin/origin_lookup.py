"""One question to peers for the origin of a stream, and what their answers mean."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_core.stream_origin.origin import StreamOrigin

# A stream of which nobody knows the origin goes on at the only version that its service has
# had, if this share of the peers that were asked confirm that. An instance that is cut off
# doesn't learn of a second version, and is not confirmed.
CONFIRMING_SHARE = 0.5


@dataclass(frozen=True)
class Known:
    """Somebody remembers the stream."""

    tag: ClassVar[str] = 'known'
    origin: StreamOrigin
    source: str
    age_s: float = 0


@dataclass(frozen=True)
class SoleVersion:
    """Nobody remembers the stream, and its service has had one version only."""

    tag: ClassVar[str] = 'sole_version'
    origin: StreamOrigin


@dataclass(frozen=True)
class Unknown:
    """Nobody that was reached knows the origin; ``complete`` if all that were asked have answered."""

    tag: ClassVar[str] = 'unknown'
    complete: bool


LookupResult = Known | SoleVersion | Unknown


class OriginAnswer(NamedTuple):
    """Answer of one instance.

    Parameters
    ----------
    origin
        Origin of the stream; None if the instance does not remember it.
    sole
        Only origin that a stream of the service can have, as the instance sees it.
    """

    origin: StreamOrigin | None
    sole: StreamOrigin | None
    age_s: float = 0


class OriginLookup:
    """Collects the answers of the peers that were asked."""

    def __init__(self, asked: Iterable[str], own_sole: StreamOrigin | None = None) -> None:
        """Start without answers.

        Parameters
        ----------
        asked
            Names of the peers.
        own_sole
            Only origin that a stream of the service can have, as this instance sees it.
        """
        self.asked = frozenset(asked)
        self.own_sole = own_sole
        self._answers: dict[str, OriginAnswer] = {}

    def note_answer(self, peer: str, answer: OriginAnswer) -> None:
        """Take the answer of ``peer``; ignored if it was not asked."""
        if peer in self.asked:
            self._answers[peer] = answer

    @property
    def unanswered(self) -> frozenset[str]:
        """Return the peers that have not answered."""
        return self.asked - self._answers.keys()

    @property
    def remembered(self) -> bool:
        """Tell whether somebody has answered with an origin."""
        return any(answer.origin is not None for answer in self._answers.values())

    @property
    def decided(self) -> bool:
        """Tell whether further answers can't change the result."""
        return not self.unanswered or self._remembered() is not None

    def conclude(self) -> LookupResult:
        """Return what the answers until now mean."""
        known = self._remembered()
        if known is not None:
            return known if known.origin.known else Unknown(complete=True)
        if self.own_sole is not None and self._confirmed(self.own_sole):
            return SoleVersion(self.own_sole)
        return Unknown(complete=not self.unanswered)

    def _remembered(self) -> Known | None:
        known = [(peer, answer) for peer, answer in self._answers.items() if answer.origin is not None]
        if len({answer.origin for _, answer in known}) != 1:
            return None
        peer, answer = known[0]
        return Known(answer.origin, peer, answer.age_s) if answer.origin else None

    def _confirmed(self, sole: StreamOrigin) -> bool:
        if any(answer.sole != sole or answer.origin is not None for answer in self._answers.values()):
            return False
        return len(self._answers) >= CONFIRMING_SHARE * len(self.asked)


__all__ = ('Known', 'LookupResult', 'OriginAnswer', 'OriginLookup', 'SoleVersion', 'Unknown')
