"""Announcement of a failed call to the store, of a probe while the store is down, or of its answer."""

from __future__ import annotations

import msgspec


class StoreProbe(msgspec.Struct, frozen=True, array_like=True, tag='store_probe'):
    """The sender's call to the store failed, or it probes the store for all.

    Parameters
    ----------
    answered
        Whether the store has answered the sender, which ends the outage.
    store
        Address of the store that the sender calls; empty if its version sends none.
    """

    entry: str
    answered: bool = False
    store: str = ''


__all__ = ('StoreProbe',)
