"""Announcement of a failed call to the store, of a probe while the store is down, or of its answer."""

from __future__ import annotations

import msgspec

from sesamepoint.front.store.topic_updates import Epoch


class StoreProbe(msgspec.Struct, frozen=True, array_like=True, tag='store_probe'):
    """The sender's call to the store failed, or it probes the store for all; or it announces a newer epoch.

    Parameters
    ----------
    answered
        Whether the store has answered the sender, which ends the outage.
    store
        Not used: earlier versions send an address, and compare one that is not empty with their own.
    epoch
        A newer epoch of the store that the sender has seen, since the store was restored; 0 if it announces none.
    """

    entry: str
    answered: bool = False
    store: str = ''
    epoch: Epoch = 0


__all__ = ('StoreProbe',)
