"""Announcement of a failed call to the store, or of a probe while the store is down."""

from __future__ import annotations

import msgspec


class StoreProbe(msgspec.Struct, frozen=True, array_like=True, tag='store_probe'):
    """The sender's call to the store failed, or it probes the store for all."""

    entry: str


__all__ = ('StoreProbe',)
