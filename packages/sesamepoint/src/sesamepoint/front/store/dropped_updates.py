"""Updates of peers that an instance does not use, and why."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.store.out_of_order import Position
    from sesamepoint.front.store.topic_updates import TopicUpdate


class DropReason(enum.Enum):
    """Why an update is not used."""

    older_epoch = 'older epoch'
    unlisted = 'peer is not registered with the store'


class DroppedUpdates:
    """Decides by what the store holds, not by its address, whether the updates of a peer are about the same store.

    All instances register with their store. A peer that the list of instances lacks may read another store, or its
    record may be lost: its updates make this instance read its own store.
    """

    def __init__(self, topic: str, listed: Callable[[str], bool], poll_soon: Callable[[], None]) -> None:
        """Use the updates of peers that are ``listed``; ``poll_soon`` reads the topic."""
        self.count = 0
        self._topic = topic
        self._listed = listed
        self._poll_soon = poll_soon
        # Reason and epoch of the update that was logged last, so that a peer far behind fills no log.
        self._logged: tuple[DropReason, int] | None = None

    def drops(self, update: TopicUpdate, known: Position) -> bool:
        """Tell whether not to use an update, while the topic is known up to ``known``; note it then."""
        if update.epoch < known.epoch:
            self._note(update, DropReason.older_epoch, known)
            return True
        if self._listed(update.entry):
            return False
        self._note(update, DropReason.unlisted, known)
        self._poll_soon()
        return True

    def _note(self, update: TopicUpdate, reason: DropReason, known: Position) -> None:
        self.count += 1
        if self._logged == (reason, update.epoch):
            return
        self._logged = (reason, update.epoch)
        events.log_event(
            events.TOPIC_UPDATE_DROPPED,
            topic=self._topic,
            peer=update.entry,
            reason=reason.value,
            era=update.epoch,
            end=update.end,
            era_known=known.epoch,
            end_known=known.end,
        )


__all__ = ('DropReason', 'DroppedUpdates')
