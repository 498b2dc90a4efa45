"""The epoch of the platform's store.

The store may be restored from a copy that is some seconds old. Then it assigns
offsets a second time, and the records that it acknowledged in those seconds are
lost. It counts its restores and sends the count, its epoch, in each response.
Offsets of different epochs are not comparable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.http1.messages import header
from sesamepoint.platform.wire_names import STORE_EPOCH

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.http1.messages import Headers

# A larger count is treated as malformed: if it were accepted, all further
# responses would be rejected as older.
MAX_EPOCH = 1_000_000
# Longer texts are not parsed; leading zeros are allowed for.
MAX_DIGITS = 32


class StoreEpoch:
    """The newest epoch in any response to this process."""

    def __init__(self) -> None:
        """Start with epoch 0; a store that is never restored sends none."""
        self.newest = 0
        # Called with each epoch that is newer than a known one.
        self.on_newer: Callable[[int], None] = _ignore_epoch

    def observe(self, headers: Headers) -> int:
        """Update the newest epoch from a response's headers and return the response's epoch.

        Raises
        ------
        PlatformUnavailableError
            If the response is of an older epoch, or its epoch is malformed.
        """
        text = header(headers, STORE_EPOCH)
        if text is None:
            return self.newest
        if not text.isdigit() or len(text) > MAX_DIGITS or int(text) > MAX_EPOCH:
            raise PlatformUnavailableError('store', 'malformed epoch')
        epoch = int(text)
        if epoch < self.newest:
            # Sent before the restore, or by a replica that was not restored.
            raise PlatformUnavailableError('store', f'response of epoch {epoch}, {self.newest} is the newest')
        known = self.newest
        self.newest = epoch
        if 0 < known < epoch:
            self.on_newer(epoch)
        return epoch


def _ignore_epoch(_: int) -> None:
    """Ignore a newer epoch."""


__all__ = ('MAX_EPOCH', 'StoreEpoch')
