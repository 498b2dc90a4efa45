"""Probes: suspect requests that are sent alone to a runner, by this instance or a peer."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import trio

from sesamepoint_core.serving.suspects import Name

# A claim expires after this long, in seconds, if its end is not announced: an
# instance that has died must not keep a request waiting. Callers wait for 3 to 5 s.
BELIEVED_S = 5.0


class TrialState(StrEnum):
    """State of a probe."""

    claimed = 'claimed'
    sent = 'sent'
    ended = 'ended'


class Trial(NamedTuple):
    """A suspect request and the runner that runs it alone."""

    content_id: Name
    runner: Name


class _Claim(NamedTuple):
    at: float
    sent: bool


class Trials:
    """Claims of probes: at most one probe per request and one per runner at a time.

    If two requests were probed at one runner, its end would count against both,
    and a harmless one would be quarantined.
    """

    def __init__(self, entry: str) -> None:
        """Start without claims at the instance of the given name."""
        self.changed = trio.Event()
        self._entry = entry
        self._claims: dict[tuple[str, Trial], _Claim] = {}

    def note(self, entry: str, trial: Trial, state: TrialState) -> None:
        """Note the state of a probe of this instance or a peer."""
        if state is not TrialState.ended:
            self._claims[entry, trial] = _Claim(trio.current_time(), state is TrialState.sent)
            return
        self._claims.pop((entry, trial), None)
        self.changed.set()
        self.changed = trio.Event()

    def tried(self, content_id: str) -> bool:
        """Tell whether any instance probes a request, or has claimed to."""
        self._forget()
        return any(probe.content_id == content_id for _, probe in self._claims)

    def taken(self, runner: str) -> bool:
        """Tell whether any request is probed at ``runner``, or claimed to be."""
        self._forget()
        return any(probe.runner == runner for _, probe in self._claims)

    def won(self, own: Trial) -> bool:
        """Tell whether this instance's claim precedes all conflicting ones.

        A probe that was sent precedes all claims; otherwise the least instance
        name wins.
        """
        self._forget()
        return not any(
            claim.sent or (instance, probe) < (self._entry, own)
            for (instance, probe), claim in self._claims.items()
            if (instance, probe) != (self._entry, own) and _in_the_way(probe, own)
        )

    def _forget(self) -> None:
        since = trio.current_time() - BELIEVED_S
        expired = [key for key, claim in self._claims.items() if claim.at < since]
        for key in expired:
            self._claims.pop(key)


def _in_the_way(trial: Trial, own: Trial) -> bool:
    return trial.content_id == own.content_id or trial.runner == own.runner


__all__ = ('Trial', 'TrialState', 'Trials')
