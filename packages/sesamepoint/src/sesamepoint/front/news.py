"""What a reader of the store tells the other entries."""

from __future__ import annotations

from typing import Annotated

import msgspec

from sesamepoint.platform.store import KeyedRecord
from sesamepoint.platform.store_era import MAX_ERA

# One datagram in one packet: entries' links carry 5 Mbit a second and more,
# and a reader tells all others at once.
MAX_CHANGED_BYTES = 1200
# No log has more records than this; at a thousand a second it takes 30 years.
MAX_OFFSET = 1_000_000_000_000
Offset = Annotated[int, msgspec.Meta(ge=0, lt=MAX_OFFSET)]
Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]


class News(msgspec.Struct, frozen=True, array_like=True, tag='news'):
    """One reading of a topic, from the offset ``start`` up to ``end``.

    Parameters
    ----------
    changed
        The newest record of each key that changed in between; None if they
        are too many for a datagram or hold secrets, and have to be read.
    era
        That of the store; the offsets are of its history in it.
    """

    entry: str
    topic: str
    start: Offset
    end: Offset
    changed: tuple[KeyedRecord, ...] | None
    era: Era = 0


def tellable(changed: dict[str, KeyedRecord], *, private: bool) -> tuple[KeyedRecord, ...] | None:
    """Return the records of a reading as peers are told them; None if they have to read them."""
    records = tuple(changed.values())
    size = sum(len(record.key) + len(record.text) for record in records)
    if records and (private or size > MAX_CHANGED_BYTES):
        return None
    return records


__all__ = ('News', 'tellable')
