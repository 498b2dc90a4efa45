"""Messages to peers on suspect requests, runners and configuration versions, and their send queue."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
import trio

from sesamepoint_core.crash_attribution.evidence import PartAnswer, PartEnd
from sesamepoint_core.crash_attribution.part_quarantine import PartVerdict
from sesamepoint_core.field_types import Counter
from sesamepoint_core.runner_status.parsing import MAX_BACK_OFF_S
from sesamepoint_core.serving.poison_requests import BoundedName, Incarnation
from sesamepoint import events
from sesamepoint.front.quarantine.probes import Probe, ProbeState
from sesamepoint.front.store.outage_messages import StoreProbe
from sesamepoint.front.streams.origin_messages import OriginMessage, OriginQuestion, OriginReply

if TYPE_CHECKING:
    from collections.abc import Sequence

# Messages are batched for this time, in seconds: when a runner ends, many
# requests end with it.
BATCH_DELAY_S = 0.002
# Rows per datagram, so that it fits into one packet.
MAX_ROWS = 24
# Messages in the send queue; more pile up only while a link is full.
MAX_QUEUED = 6144
# Age beyond which a reported status of a runner is not accepted, in seconds.
MAX_AGE_S = 3600
AgeS = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]
BackOffS = Annotated[float, msgspec.Meta(ge=0, le=MAX_BACK_OFF_S)]


class VersionMessage(msgspec.Struct, frozen=True, array_like=True, tag='version'):
    """Configuration version in force at the sender; 0 if none is."""

    entry: str
    version: Counter


class ReportedStatus(StrEnum):
    """Status of a runner that an instance learned from one of its answers, or from its registration."""

    # Another incarnation than the registered one answers at the address.
    replaced = 'replaced'
    # The runner is draining.
    leaving = 'leaving'
    # The runner rejected a request and asked the instance to back off for a time.
    resting = 'resting'
    # Its registration was removed.
    removed = 'removed'


class RunnerStatusMessage(msgspec.Struct, frozen=True, array_like=True, tag='runner'):
    """Status of a runner that the sender learned from an answer ``age_s`` seconds before.

    ``rest_s`` is the back-off that the runner asked for, in seconds, if it did.
    """

    entry: str
    start: Incarnation
    fact: ReportedStatus
    age_s: AgeS = 0
    rest_s: BackOffS = 0


class RunnerStatusQuestion(msgspec.Struct, frozen=True, array_like=True, tag='runner?'):
    """Question of an instance that may have missed which runners are draining or were removed lately."""

    entry: str


class RunnerEnd(NamedTuple):
    """End of a runner while it ran a request."""

    content_id: BoundedName
    start: Incarnation


class ProbeUpdate(NamedTuple):
    """State of a probe of the sender."""

    trial: Probe
    state: ProbeState


class SuspectUpdate(msgspec.Struct, frozen=True, array_like=True, tag='notice'):
    """Batch of what the sender found out about suspect requests.

    Parameters
    ----------
    served
        Suspect requests that were answered in full.
    quarantined
        Requests that ended a runner while they ran on it alone.
    part_ends
        Ends of runners under parts of prompts that no answer known to the sender has cleared.
    parts_answered
        Such parts that were in a whole answer.
    harmful_parts
        Parts in quarantine.
    """

    entry: str
    ends: tuple[RunnerEnd, ...] = ()
    trials: tuple[ProbeUpdate, ...] = ()
    served: tuple[BoundedName, ...] = ()
    quarantined: tuple[BoundedName, ...] = ()
    part_ends: tuple[PartEnd, ...] = ()
    parts_answered: tuple[PartAnswer, ...] = ()
    harmful_parts: tuple[PartVerdict, ...] = ()


QueuedMessage = (
    SuspectUpdate
    | VersionMessage
    | RunnerStatusMessage
    | RunnerStatusQuestion
    | StoreProbe
    | OriginMessage
    | OriginQuestion
    | OriginReply
)


class Outgoing(NamedTuple):
    """Queued message and its recipient; an empty recipient stands for all peers."""

    recipient: str
    message: QueuedMessage


class SendQueue:
    """Queue of messages to peers; drops messages instead of blocking if it is full."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._pending = trio.Event()
        self._queue: list[Outgoing] = []

    def enqueue(self, message: QueuedMessage, recipient: str = '') -> None:
        """Queue a message for one peer, or for all peers."""
        if len(self._queue) < MAX_QUEUED:
            self._queue.append(Outgoing(recipient, message))
        else:
            events.log_event(events.UPDATE_DROPPED, notice=repr(message))
        self._pending.set()

    async def next_batch(self) -> list[Outgoing]:
        """Wait for a message and return the queued ones; updates on suspects to all peers are merged."""
        await self._pending.wait()
        await trio.sleep(BATCH_DELAY_S)
        self._pending = trio.Event()
        queued = self._queue
        self._queue = []
        to_all = [
            outgoing.message
            for outgoing in queued
            if not outgoing.recipient and isinstance(outgoing.message, SuspectUpdate)
        ]
        chunks = (to_all[start : start + MAX_ROWS] for start in range(0, len(to_all), MAX_ROWS))
        unmerged = (
            outgoing for outgoing in queued if outgoing.recipient or not isinstance(outgoing.message, SuspectUpdate)
        )
        return [*unmerged, *(Outgoing('', _merge(chunk)) for chunk in chunks)]


def _merge(updates: Sequence[SuspectUpdate]) -> SuspectUpdate:
    return SuspectUpdate(
        updates[0].entry,
        ends=tuple(row for update in updates for row in update.ends),
        trials=tuple(row for update in updates for row in update.trials),
        served=tuple(row for update in updates for row in update.served),
        quarantined=tuple(row for update in updates for row in update.quarantined),
        part_ends=tuple(row for update in updates for row in update.part_ends),
        parts_answered=tuple(row for update in updates for row in update.parts_answered),
        harmful_parts=tuple(row for update in updates for row in update.harmful_parts),
    )


__all__ = (
    'MAX_ROWS',
    'Outgoing',
    'ProbeUpdate',
    'ReportedStatus',
    'RunnerEnd',
    'RunnerStatusMessage',
    'RunnerStatusQuestion',
    'SendQueue',
    'SuspectUpdate',
    'VersionMessage',
)
