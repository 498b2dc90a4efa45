"""What this entry sends to engines: counted here and told to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.serving.prompt import Part

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.member import Member


class Send(NamedTuple):
    """Prompt work that one entry gave to one runner.

    ``parts`` are the shared parts that the runner holds from now on.
    """

    runner: str
    work_s: float
    parts: tuple[Part, ...]


class SendNotes:
    """Keeps the models of runners in step with all entries' sends."""

    def __init__(self, fleet: Fleet) -> None:
        """Update the members of ``fleet``."""
        self.fresh = trio.Event()
        self._fleet = fleet
        self._unsent: list[Send] = []

    def read(self, member: Member, parts: Sequence[Part], work_s: float) -> None:
        """Note that this entry has ``member`` read a prompt."""
        shared = parts[:-1]
        member.queue.add(trio.current_time(), work_s)
        member.cache.touch(shared)
        self._unsent.append(Send(member.runner.key, work_s, tuple(shared)))
        self.fresh.set()

    def heard(self, sends: Sequence[Send]) -> None:
        """Take in what a peer told."""
        now = trio.current_time()
        for send in sends:
            member = self._fleet.members.get(send.runner)
            if member is not None:
                member.queue.add(now, send.work_s)
                member.cache.touch(send.parts)

    def drain(self) -> list[Send]:
        """Return what peers have not been told yet."""
        found = self._unsent
        self._unsent = []
        self.fresh = trio.Event()
        return found


__all__ = ('Send', 'SendNotes')
