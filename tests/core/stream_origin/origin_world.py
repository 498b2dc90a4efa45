"""Instances that remember origins, without input or output, and what callers see of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sesamepoint_core.stream_origin.holders import ASKED, HOLDERS, HolderChoice
from sesamepoint_core.stream_origin.origin import StreamOrigin, stream_digest
from sesamepoint_core.stream_origin.origin_lookup import Known, OriginAnswer, OriginLookup, SoleVersion
from sesamepoint_core.stream_origin.origin_memory import OriginMemory
from sesamepoint_core.stream_origin.version_history import VersionHistory

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

SERVICE = 'llm'
# So many instances are to be told the origin of a stream, whatever a faulty variant does.
HOLDERS_AT_LEAST = 3


@dataclass
class Instance:
    """What one instance knows; ``cut`` if it reaches no peer and not the store."""

    name: str
    memory: OriginMemory = field(default_factory=OriginMemory)
    history: VersionHistory = field(default_factory=VersionHistory)
    versions: set[str] = field(default_factory=set)
    cut: bool = False

    def sole(self, now: float) -> StreamOrigin | None:
        """Return the only origin that a stream can have, as this instance sees it."""
        for version in self.versions:
            self.history.note(SERVICE, version, now)
        return self.history.sole_origin(SERVICE, now)


@dataclass
class Stream:
    """A stream in the hands of its caller.

    Parameters
    ----------
    told
        Whether its first event was told to as many instances as it should be.
    changes
        Instances that were killed or started since.
    """

    first_attempt: str
    origin: StreamOrigin
    at: float
    told: bool = True
    changes: int = 0

    @property
    def kept(self) -> bool:
        """Tell whether an instance that knows its origin must be left, among those that are asked."""
        return self.told and self.changes < HOLDERS_AT_LEAST


class OriginWorld:
    """A service whose versions come and go, and its instances."""

    def __init__(self, instances: int) -> None:
        """Start instances that have known one version for as long as streams are remembered."""
        self.now: float = 0
        self.versions = {'v0'}
        self.instances: dict[str, Instance] = {}
        self.streams: list[Stream] = []
        self._serial = 0
        self._choice = HolderChoice()
        for _ in range(instances):
            self.start_instance()
        self.now = 2 * self.instances['front-1'].memory.retention_s
        for instance in self.instances.values():
            instance.sole(self.now)

    def start_instance(self) -> None:
        """Start an instance, which reads the versions from the store."""
        self._serial += 1
        instance = Instance(f'front-{self._serial}', versions=set(self.versions))
        instance.history.begin(self.now)
        self.instances[instance.name] = instance
        self._note_change()

    def kill(self, name: str) -> None:
        """Kill an instance, with all that it knows."""
        self.instances.pop(name)
        self._note_change()

    def change_versions(self, versions: set[str]) -> None:
        """Have the service serve ``versions``; instances that are cut off don't learn of it."""
        self.versions = set(versions)
        for instance in self.instances.values():
            if not instance.cut:
                instance.sole(self.now)
                instance.versions = set(versions)
                instance.sole(self.now)

    def begin_stream(self, name: str, version: str, lost: AbstractSet[int]) -> None:
        """Begin a stream at an instance; messages to the holders numbered in ``lost`` are lost."""
        self._serial += 1
        stream = Stream(f'r{self._serial}', StreamOrigin(SERVICE, version), self.now)
        reached = not any(one.cut for one in self.instances.values())
        stream.told = not lost and reached and len(self.instances) > HOLDERS_AT_LEAST
        self.streams.append(stream)
        self._tell(self.instances[name], stream, lost)

    def take_up(self, name: str, stream: Stream, lost: AbstractSet[int], *, named: bool) -> StreamOrigin | None:
        """Return the origin at which an instance goes on with a stream; None if it refuses.

        ``named`` tells whether its caller names the first attempt.
        """
        instance = self.instances[name]
        digest = stream_digest(stream.first_attempt) if named else b''
        known = instance.memory.find(digest, self.now)
        if known is not None:
            return known.origin
        lookup = OriginLookup(self._first_peers(instance, digest, ASKED), instance.sole(self.now))
        for number, peer in enumerate(sorted(lookup.asked)):
            if number not in lost and self._reaches(instance, peer):
                lookup.note_answer(peer, self._answer(peer, digest))
        found = lookup.conclude()
        if not isinstance(found, Known | SoleVersion):
            return None
        if named:
            self._tell(instance, stream, lost, found.origin)
        return found.origin

    def _note_change(self) -> None:
        for stream in self.streams:
            stream.changes += 1

    def _tell(
        self, teller: Instance, stream: Stream, lost: AbstractSet[int], origin: StreamOrigin | None = None
    ) -> None:
        digest = stream_digest(stream.first_attempt)
        told = origin or stream.origin
        teller.memory.remember(digest, told, self.now)
        for number, peer in enumerate(self._first_peers(teller, digest, HOLDERS)):
            if number not in lost and self._reaches(teller, peer):
                self.instances[peer].memory.remember(digest, told, self.now)

    def _answer(self, name: str, digest: bytes) -> OriginAnswer:
        peer = self.instances[name]
        known = peer.memory.find(digest, self.now)
        return OriginAnswer(known.origin if known else None, peer.sole(self.now))

    def _reaches(self, instance: Instance, peer: str) -> bool:
        return not instance.cut and not self.instances[peer].cut

    def _first_peers(self, instance: Instance, digest: bytes, number: int) -> list[str]:
        peers = (name for name in self.instances if name != instance.name)
        return self._choice.first(digest, peers, number)


__all__ = ('Instance', 'OriginWorld', 'Stream')
