"""Updates of a topic of the store, from the instance that polled it to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from sesamepoint_core.field_types import Offset
from sesamepoint.platform.store import KeyedRecord
from sesamepoint.platform.store_epoch import MAX_EPOCH

if TYPE_CHECKING:
    from collections.abc import Sequence

# Keeps the datagram in one packet: the links of instances carry 5 Mbit/s and
# more, and the instance that polled sends to all peers at once.
MAX_CHANGED_BYTES = 1200
Epoch = Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]


class TopicUpdate(msgspec.Struct, frozen=True, array_like=True, tag='news'):
    """What one poll of a topic returned, from the offset ``start`` up to ``end``.

    Parameters
    ----------
    changed
        The records of each key that changed in between, in their order; None if they
        are too large for a datagram or hold secrets, so that the receiver has
        to poll the store for them.
    epoch
        Epoch of the store; the offsets are valid within it.
    """

    entry: str
    topic: str
    start: Offset
    end: Offset
    changed: tuple[KeyedRecord, ...] | None
    epoch: Epoch = 0


def broadcastable(changed: Sequence[KeyedRecord], *, confidential: bool) -> tuple[KeyedRecord, ...] | None:
    """Return the changed records to broadcast; None if peers have to poll the store for them."""
    records = tuple(changed)
    size = sum(len(record.key) + len(record.text) for record in records)
    if records and (confidential or size > MAX_CHANGED_BYTES):
        return None
    return records


__all__ = ('TopicUpdate', 'broadcastable')
