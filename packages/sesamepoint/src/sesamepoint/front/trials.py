"""Which requests are sent alone at the moment, here and at the other entries."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import trio

from sesamepoint_core.serving.suspects import Name

# Word of a trial counts for this long, in seconds, if no end of it is heard: an
# entry that has died must not keep a request waiting. Callers wait for 3 to 5 s.
BELIEVED_S = 5.0


class TrialState(StrEnum):
    """How far a trial is."""

    claimed = 'claimed'
    sent = 'sent'
    ended = 'ended'


class Trial(NamedTuple):
    """One request that is sent to one runner alone."""

    content_id: Name
    runner: Name


class _Claim(NamedTuple):
    at: float
    sent: bool


class Trials:
    """One trial of a request at a time, and one at a runner.

    Two requests that are tried at one runner would share its end, and a sound
    one would be taken for the other.
    """

    def __init__(self, entry: str) -> None:
        """Know of none; ``entry`` is this one's name."""
        self.changed = trio.Event()
        self._entry = entry
        self._claims: dict[tuple[str, Trial], _Claim] = {}

    def note(self, entry: str, trial: Trial, state: TrialState) -> None:
        """Note how far the trial of an entry is."""
        if state is not TrialState.ended:
            self._claims[entry, trial] = _Claim(trio.current_time(), state is TrialState.sent)
            return
        self._claims.pop((entry, trial), None)
        self.changed.set()
        self.changed = trio.Event()

    def tried(self, content_id: str) -> bool:
        """Tell whether any entry tries a request, or is about to."""
        self._forget()
        return any(trial.content_id == content_id for _, trial in self._claims)

    def taken(self, runner: str) -> bool:
        """Tell whether anything is tried at ``runner``, or about to be."""
        self._forget()
        return any(trial.runner == runner for _, trial in self._claims)

    def won(self, own: Trial) -> bool:
        """Tell whether this entry's claim goes first of those in its way.

        One that has been sent goes before all; of the others, the least name.
        """
        self._forget()
        return not any(
            claim.sent or (entry, trial) < (self._entry, own)
            for (entry, trial), claim in self._claims.items()
            if (entry, trial) != (self._entry, own) and _in_the_way(trial, own)
        )

    def _forget(self) -> None:
        since = trio.current_time() - BELIEVED_S
        old = [key for key, claim in self._claims.items() if claim.at < since]
        for key in old:
            self._claims.pop(key)


def _in_the_way(trial: Trial, own: Trial) -> bool:
    return trial.content_id == own.content_id or trial.runner == own.runner


__all__ = ('Trial', 'TrialState', 'Trials')
