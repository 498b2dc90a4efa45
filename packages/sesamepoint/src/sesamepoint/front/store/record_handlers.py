"""What a follower of a topic calls: handlers of its records, and the peers that share the polling."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint.front.store.store_pacer import StorePacer
    from sesamepoint.front.store.topic_updates import TopicUpdate
    from sesamepoint.platform.store import KeyedRecord


def _ignore(_: object) -> None:
    """Do nothing."""


def _never() -> bool:
    return False


def _confirm_any(_: bool) -> bool:
    return True


def _list_any(_: str) -> bool:
    return True


class RecordHandlers(NamedTuple):
    """Callbacks for the records of a topic.

    Parameters
    ----------
    replace_all
        Replaces the local state by the whole topic.
    update
        Applies one record; returns whether it changed the local state.
    restore
        Receives the whole topic of a store that was restored from an older
        copy, to write this instance's missing records again.
    request_from
        Called with the name of a peer to request records from that the store
        does not return to this instance; None if updates contain all records.
    confirm
        Called with whether the store itself has shown that the local state is
        current, rather than a peer; returns False if that is required.
    polled
        Called after an answer of the store was applied, with the time at which its call began.
    urgent
        Returns whether this instance cannot serve before it has read the topic;
        failed calls are then repeated soon.
    ask_about_gap
        Called with the sender of an update that left a gap, if the store does not return the records of the gap to
        this instance.
    passes_known
        Whether records that change nothing here are passed on: peers may lack what this instance has had by another
        way than the topic, and accept what it refuses.
    """

    replace_all: Callable[[tuple[KeyedRecord, ...]], None]
    update: Callable[[KeyedRecord], bool]
    restore: Callable[[tuple[KeyedRecord, ...]], None] = _ignore
    request_from: Callable[[str], None] | None = None
    confirm: Callable[[bool], bool] = _confirm_any
    polled: Callable[[float], None] = _ignore
    urgent: Callable[[], bool] = _never
    ask_about_gap: Callable[[str], None] = _ignore
    passes_known: bool = False

    @property
    def confidential(self) -> bool:
        """Tell whether updates omit the records; peers then request them or poll the store."""
        return self.request_from is not None


class PeerGroup(NamedTuple):
    """This instance and the peers with which it shares the polling.

    Parameters
    ----------
    name
        The name of this instance.
    instance_count
        Returns the number of instances, including this one.
    broadcast
        Sends an update to all peers.
    pacer
        Paces the failed calls of this instance.
    listed
        Returns whether the record of a peer is on the list of instances that the store of this instance holds.
    """

    name: str
    instance_count: Callable[[], int]
    broadcast: Callable[[TopicUpdate], Awaitable[None]]
    pacer: StorePacer
    listed: Callable[[str], bool] = _list_any


__all__ = ('PeerGroup', 'RecordHandlers')
