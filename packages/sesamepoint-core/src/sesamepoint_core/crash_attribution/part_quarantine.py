"""Quarantine of harmful parts, and the few trials by which a wrong verdict is found."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec

from sesamepoint_core.crash_attribution.evidence import PartEnd
from sesamepoint_core.serving.poison_requests import QUARANTINE_S, BoundedName

if TYPE_CHECKING:
    from collections.abc import Iterable

# Seconds after which a quarantined part is tried again: the first time soon, since a wrong verdict refuses all
# requests of a caller, the second time after the hours in which runners get fixed.
TRIAL_DELAYS_S = (10.0, QUARANTINE_S)
# One more trial follows one that showed nothing, as when its caller left. The users accept three more sends for ever.
MAX_REPEATED = 1
MAX_TRIALS = len(TRIAL_DELAYS_S) + MAX_REPEATED
# Most parts in quarantine; the oldest are released first.
MAX_QUARANTINED = 1024
# Most ends, and most parts of one verdict, that are accepted from another process.
MAX_LISTED = 8


BoundedKeys = Annotated[tuple[BoundedName, ...], msgspec.Meta(max_length=MAX_LISTED)]


class PartVerdict(NamedTuple):
    """A harmful part, as it is sent to peers and stored.

    Parameters
    ----------
    trials, repeated
        Trials that were used, and those of them that showed nothing and so don't count.
    group
        Parts that were named with it, because the evidence does not distinguish them.
    spared
        Parts that ended the same runners alone, but fewer in all. They stay suspect.
    ends
        Ends that it caused.
    """

    key: BoundedName
    trials: Annotated[int, msgspec.Meta(ge=0, le=MAX_TRIALS)] = 0
    repeated: Annotated[int, msgspec.Meta(ge=0, le=MAX_REPEATED)] = 0
    group: BoundedKeys = ()
    spared: BoundedKeys = ()
    ends: Annotated[tuple[PartEnd, ...], msgspec.Meta(max_length=MAX_LISTED)] = ()


class _Entry(NamedTuple):
    since: float
    verdict: PartVerdict


class PartQuarantine:
    """Parts that may not be sent, by key: whatever their size, model or service."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, _Entry] = {}

    def __contains__(self, key: object) -> bool:
        """Return whether a part is in quarantine."""
        return key in self._entries

    def add(self, verdict: PartVerdict, now: float) -> tuple[str, ...]:
        """Put a part in quarantine, or count its trials; return the parts that were released to make room."""
        entry = self._entries.get(verdict.key)
        if entry is not None:
            # Reports cross each other: a trial that was used stays used.
            self._entries[verdict.key] = entry._replace(verdict=_merged(entry.verdict, verdict))
            return ()
        self._entries[verdict.key] = _Entry(now, verdict)
        surplus = tuple(self._entries)[: max(len(self._entries) - MAX_QUARANTINED, 0)]
        for key in surplus:
            self._entries.pop(key)
        return surplus

    def release(self, key: str) -> bool:
        """End the quarantine of a part; return whether there was one."""
        return self._entries.pop(key, None) is not None

    def verdict_on(self, key: str) -> PartVerdict | None:
        """Return the verdict on a part; None if it is not in quarantine."""
        entry = self._entries.get(key)
        return entry and entry.verdict

    def left_s(self, key: str, now: float) -> float:
        """Return how long callers should stay away, in seconds."""
        entry = self._entries.get(key)
        return 0 if entry is None else max(entry.since + QUARANTINE_S - now, 0)

    def trial_due(self, key: str, others: Iterable[str], now: float) -> bool:
        """Return whether a request with a part in quarantine may be sent alone, as a trial.

        Parameters
        ----------
        others
            The other parts of the request. One without all those that were named with ``key`` distinguishes
            them, and may be tried at once.
        """
        entry = self._entries.get(key)
        if entry is None:
            return False
        used = max(entry.verdict.trials - entry.verdict.repeated, 0)
        if used >= len(TRIAL_DELAYS_S):
            return False
        if now - entry.since >= TRIAL_DELAYS_S[used]:
            return True
        group = frozenset(entry.verdict.group) - {key}
        return bool(group) and not used and group.isdisjoint(others)

    def all_verdicts(self) -> tuple[PartVerdict, ...]:
        """Return all verdicts, the newest last."""
        return tuple(entry.verdict for entry in self._entries.values())


def _merged(known: PartVerdict, verdict: PartVerdict) -> PartVerdict:
    return known._replace(trials=max(known.trials, verdict.trials), repeated=max(known.repeated, verdict.repeated))


__all__ = ('MAX_LISTED', 'MAX_REPEATED', 'MAX_TRIALS', 'TRIAL_DELAYS_S', 'PartQuarantine', 'PartVerdict')
