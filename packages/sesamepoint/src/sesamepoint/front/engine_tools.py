"""Components that the dispatcher uses to choose, queue and send requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint.front.choice import Chooser
from sesamepoint.front.places import Places
from sesamepoint.front.prefill import HandleReclaimer
from sesamepoint.front.waiting import WaitingRoom

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.known_engines import KnownEngines
    from sesamepoint.front.runner_limits import RunnerLimits
    from sesamepoint.front.runner_words import RunnerWords
    from sesamepoint.front.sends import SendNotes


class EngineTools(NamedTuple):
    """Components of one front that choose runners, queue requests and announce sends."""

    chooser: Chooser
    sends: SendNotes
    reclaimer: HandleReclaimer
    waiting: WaitingRoom
    limits: RunnerLimits
    places: Places

    @classmethod
    def from_zone(
        cls, availability_zone: str, known: KnownEngines, sends: SendNotes, words: RunnerWords, rng: Random
    ) -> EngineTools:
        """Build the components.

        Parameters
        ----------
        availability_zone
            Zone of this instance.
        sends
            Record of the sends of all instances.
        rng
            Source of random delays.
        """
        chooser = Chooser(known, availability_zone, sends.backlog, words.limits)
        waiting = WaitingRoom(chooser, sends, rng)
        return cls(chooser, sends, HandleReclaimer(), waiting, words.limits, Places(words, chooser.usable))


__all__ = ('EngineTools',)
