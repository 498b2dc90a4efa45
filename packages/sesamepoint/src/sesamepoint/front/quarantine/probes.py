"""Probes: suspect requests that are sent alone to a runner, by this instance or a peer."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import trio

from sesamepoint_core.serving.poison_requests import BoundedName

# A claim expires after this long, in seconds, if its end is not announced: an
# instance that has died must not keep a request waiting. Callers wait for 3 to 5 s.
CLAIM_TTL_S = 5.0


class ProbeState(StrEnum):
    """State of a probe."""

    claimed = 'claimed'
    sent = 'sent'
    ended = 'ended'


class Probe(NamedTuple):
    """A suspect request and the runner that runs it alone."""

    content_id: BoundedName
    runner: BoundedName


class RequestProbe(NamedTuple):
    """Probe of one request: a claim for its content, and one for each suspect part of its prompt.

    Parameters
    ----------
    trial
        Whether it tries parts that are in quarantine.
    """

    claims: tuple[Probe, ...]
    trial: bool = False

    @property
    def runner(self) -> str:
        """Return the runner that runs it."""
        return self.claims[0].runner


class _Claim(NamedTuple):
    claimed_at: float
    sent: bool


class Probes:
    """Claims of probes: at most one probe per request and one per runner at a time.

    If two requests were probed at one runner, its end would count against both,
    and a harmless one would be quarantined.
    """

    def __init__(self, instance: str) -> None:
        """Start without claims at the instance of the given name."""
        self.changed = trio.Event()
        self._instance = instance
        self._claims: dict[tuple[str, Probe], _Claim] = {}

    def note(self, instance: str, probe: Probe, state: ProbeState) -> None:
        """Note the state of a probe of this instance or a peer."""
        if state is not ProbeState.ended:
            self._claims[instance, probe] = _Claim(trio.current_time(), state is ProbeState.sent)
            return
        self._claims.pop((instance, probe), None)
        self.notify()

    def notify(self) -> None:
        """Wake the requests that wait for a probe, since what is known of suspects has changed."""
        self.changed.set()
        self.changed = trio.Event()

    def request_claimed(self, content_id: str) -> bool:
        """Tell whether any instance probes a request, or has claimed to."""
        self._drop_expired()
        return any(probe.content_id == content_id for _, probe in self._claims)

    def runner_claimed(self, runner: str) -> bool:
        """Tell whether any request is probed at ``runner``, or claimed to be."""
        self._drop_expired()
        return any(probe.runner == runner for _, probe in self._claims)

    def has_precedence(self, own: tuple[Probe, ...]) -> bool:
        """Tell whether the claims ``own`` of this instance for one request precede all conflicting ones.

        A probe that was sent precedes all claims; otherwise the least instance
        name wins.
        """
        self._drop_expired()
        others = [
            (instance, probe, claim)
            for (instance, probe), claim in self._claims.items()
            if instance != self._instance or probe not in own
        ]
        return not any(
            claim.sent or (instance, probe) < (self._instance, each)
            for instance, probe, claim in others
            for each in own
            if _conflicts(probe, each)
        )

    def _drop_expired(self) -> None:
        since = trio.current_time() - CLAIM_TTL_S
        expired = [key for key, claim in self._claims.items() if claim.claimed_at < since]
        for key in expired:
            self._claims.pop(key)


def _conflicts(probe: Probe, own: Probe) -> bool:
    return probe.content_id == own.content_id or probe.runner == own.runner


__all__ = ('Probe', 'ProbeState', 'Probes', 'RequestProbe')
