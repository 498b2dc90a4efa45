"""Attribution of ended runners to a part of the prompts that they had.

Runners end when they begin to write an answer on a harmful part. The other parts of such a
prompt are in sound requests too, so that a whole answer clears them. What no answer clears
is sent alone from its first end on; a part that ends runners alone again is harmful.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.bounded_dict import drop_oldest
from sesamepoint_core.crash_attribution.evidence import PartAnswer, PartEnd

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint_core.serving.prompt import Part

# Most suspect parts and most cleared parts that are remembered; the least recently updated
# go first.
MAX_SUSPECT = 4096
MAX_CLEARED = 16384
# Most ends that are remembered of one part: more than it takes to name it.
MAX_ENDS = 8


class NamingRule(NamedTuple):
    """When a part counts as suspect, and when as harmful.

    A single probe whose runner ends is weak evidence: the runner may have ended by itself. A wrong
    verdict refuses all requests of a caller that have the part.

    Parameters
    ----------
    suspect_from
        Number of ended runners from which on requests with the part are sent alone.
    ends
        Number of ended runners from which on it is harmful, if ``alone`` of them ended under a probe.
    """

    suspect_from: int = 1
    ends: int = 3
    alone: int = 2


NAMING_RULE = NamingRule()


class SuspectParts:
    """The ends under each part that no answer has cleared."""

    def __init__(self, rule: NamingRule = NAMING_RULE) -> None:
        """Start without evidence."""
        self._rule = rule
        self._ends: dict[str, dict[Incarnation, PartEnd]] = {}
        self._cleared: dict[PartAnswer, None] = {}
        # Ends that are known to have another cause.
        self._attributed: dict[Incarnation, None] = {}

    def note_answered(self, parts: Iterable[Part], scope: str) -> tuple[PartAnswer, ...]:
        """Note that a request with ``parts`` was answered whole; return those that were suspect until then."""
        answers = [PartAnswer.from_part(part, scope) for part in parts]
        return tuple(answer for answer in answers if self.clear(answer))

    def clear(self, answer: PartAnswer) -> bool:
        """Note that a request with a part was answered whole; return whether the part was suspect until then."""
        self._cleared.pop(answer, None)
        self._cleared[answer] = None
        drop_oldest(self._cleared, MAX_CLEARED)
        ends = self._ends.get(answer.key)
        if ends is None:
            return False
        refuted = [incarnation for incarnation, end in ends.items() if _is_refuted(end, answer)]
        for incarnation in refuted:
            ends.pop(incarnation)
        if not ends:
            self._ends.pop(answer.key)
        return bool(refuted)

    def is_cleared(self, answer: PartAnswer) -> bool:
        """Return whether an answer has cleared a part in its size and scope."""
        return answer in self._cleared

    def candidates(self, parts: Iterable[Part], scope: str) -> tuple[Part, ...]:
        """Return the parts that no answer in ``scope`` has cleared."""
        return tuple(part for part in parts if PartAnswer.from_part(part, scope) not in self._cleared)

    def note_end(self, end: PartEnd) -> None:
        """Note the end of a runner under a part.

        Reports come late, doubled and in any order: an incarnation counts once, alone if any report says so.
        """
        if end.incarnation in self._attributed or PartAnswer(end.key, end.tokens, end.scope) in self._cleared:
            return
        ends = self._ends.pop(end.key, {})
        known = ends.get(end.incarnation)
        if known is None or end.alone:
            ends[end.incarnation] = end
        drop_oldest(ends, MAX_ENDS)
        self._ends[end.key] = ends
        drop_oldest(self._ends, MAX_SUSPECT)

    def is_harmful(self, key: str) -> bool:
        """Return whether the ends under a part are enough for a verdict."""
        ends = self._ends.get(key, {})
        return len(ends) >= self._rule.ends and len(_alone(ends)) >= self._rule.alone

    def is_suspect(self, part: Part) -> bool:
        """Return whether requests with ``part`` may only be sent alone."""
        ends = self._ends.get(part.key)
        if ends is None:
            return False
        open_ends = [end for end in ends.values() if PartAnswer(part.key, part.tokens, end.scope) not in self._cleared]
        return len(open_ends) >= self._rule.suspect_from

    def explains(self, incarnation: Incarnation) -> bool:
        """Return whether a suspect part may have ended a runner, so that its other requests need not be suspect."""
        return any(incarnation in ends for ends in self._ends.values())

    def ends_of(self, key: str) -> tuple[PartEnd, ...]:
        """Return the ends under a part."""
        return tuple(self._ends.get(key, {}).values())

    def same_probes(self, key: str) -> frozenset[str]:
        """Return the parts, ``key`` included, that were in the same probes whose runners ended."""
        alone = _alone(self._ends.get(key, {}))
        return frozenset(other for other, ends in self._ends.items() if _alone(ends) == alone)

    def attribute(self, incarnations: Iterable[Incarnation], keys: frozenset[str]) -> None:
        """Let ends count against the parts ``keys`` only, which are known to have caused them."""
        for incarnation in incarnations:
            self._attributed[incarnation] = None
            drop_oldest(self._attributed, MAX_SUSPECT)
            for key, ends in tuple(self._ends.items()):
                if key not in keys and ends.pop(incarnation, None) is not None and not ends:
                    self._ends.pop(key)

    def forget(self, key: str) -> None:
        """Forget the ends under a part."""
        self._ends.pop(key, None)

    def all_suspect(self) -> tuple[str, ...]:
        """Return the parts with ends, the last updated ones last."""
        return tuple(self._ends)


def _alone(ends: dict[Incarnation, PartEnd]) -> frozenset[Incarnation]:
    return frozenset(end.incarnation for end in ends.values() if end.alone)


def _is_refuted(end: PartEnd, answer: PartAnswer) -> bool:
    return (end.tokens, end.scope) == (answer.tokens, answer.scope)


__all__ = ('NAMING_RULE', 'NamingRule', 'SuspectParts')
