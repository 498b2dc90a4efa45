"""Which history of the platform's store an answer belongs to.

The store may come back from a copy that is some seconds old. Then offsets go
back and are given out again, and what it had acknowledged in those seconds is
gone. It counts how often that happened, and says the count in each answer: the
offsets of two eras have nothing to do with each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.http1.messages import header
from sesamepoint.platform.names import STORE_ERA

if TYPE_CHECKING:
    from sesamepoint.http1.messages import Headers

# No store goes back so often; a larger count is no count, and to believe it
# would be to believe no answer of the store any more.
MAX_ERA = 1_000_000


class StoreEra:
    """The newest era that any answer to this process has told."""

    def __init__(self) -> None:
        """Know none: stores that never go back tell none."""
        self.known = 0

    def take(self, headers: Headers) -> int:
        """Take an answer's headers and return its era.

        Raises
        ------
        PlatformUnavailableError
            If it is of an era that is over, or its count can't be read.
        """
        text = header(headers, STORE_ERA)
        if text is None:
            return self.known
        if not text.isdigit() or int(text) > MAX_ERA:
            raise PlatformUnavailableError('store', 'its count of eras is no such number')
        era = int(text)
        if era < self.known:
            # Sent before the store went back, or by one that was left behind.
            raise PlatformUnavailableError('store', f'an answer of era {era}, {self.known} is known')
        self.known = era
        return era


__all__ = ('MAX_ERA', 'StoreEra')
