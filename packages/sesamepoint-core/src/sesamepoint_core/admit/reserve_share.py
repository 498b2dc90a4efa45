"""Share of one instance in a reserve that all instances split, over lives of processes and changes of their number."""

from __future__ import annotations

import math
import zlib
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

# Seconds for which a list of the instances counts as current after it was confirmed. The list is read every 1.2 s,
# and one update may be lost; an instance that is cut off stops using its share after this time.
LIST_VALID_S = 4.0


class _View(NamedTuple):
    """Number of instances on a list, and the place of this one; no share without a place."""

    instances: int
    rank: int | None
    ended_at: float = math.inf

    def share(self, reserve: float, service: str) -> float:
        """Return the share of ``reserve``, whose whole parts add up to it over all instances."""
        if self.rank is None:
            return 0
        rank = (self.rank + zlib.crc32(service.encode())) % self.instances
        return (reserve + rank) / self.instances


_NOT_LISTED = _View(1, None)


class ReserveShare:
    """Share of an instance in a reserve that must not be used twice within a window.

    What an instance has spent stays in the window after it has left or started again.
    Therefore a share counts only after it was held for a window, and for as much longer
    as another instance may go by an older list: the smallest share of that time is used.

    Parameters
    ----------
    name
        Name of this instance.
    window_s
        Length of the window, in seconds.
    clock
        Returns the time of a monotonic clock, in seconds.
    """

    def __init__(self, name: str, window_s: float, clock: Callable[[], float]) -> None:
        """Start without a share: what the process before this one has spent is not known."""
        self._name = name
        self._hold_s = window_s + LIST_VALID_S
        self._clock = clock
        self._view = _NOT_LISTED
        self._past: deque[_View] = deque()
        self._confirmed_at = -math.inf

    @property
    def current(self) -> bool:
        """Tell whether the list was confirmed lately."""
        return self._clock() - self._confirmed_at <= LIST_VALID_S

    @property
    def instances(self) -> int:
        """Return the number of instances on the list."""
        return self._view.instances

    def replace_all(self, members: Collection[str]) -> bool:
        """Apply a whole list; return whether the share differs.

        If the list before was not current, changes that have come and gone may have been missed.
        """
        if not self.current:
            self._set_view(_NOT_LISTED)
        return self.update(members)

    def update(self, members: Collection[str]) -> bool:
        """Apply one change of the list, of which ``members`` are the result; return whether the share differs."""
        if self._name not in members:
            return self._set_view(_NOT_LISTED)
        return self._set_view(_View(len(members), sorted(members, key=_order).index(self._name)))

    def confirm(self, *, by_store: bool) -> bool:
        """Note that the list is current; return False if this takes an answer of the store.

        Messages of peers that were held back, as in a freeze, don't show that the list is current.
        """
        if not by_store and not self.current:
            return False
        self._confirmed_at = self._clock()
        return True

    def change_window(self, window_s: float) -> None:
        """Change the length of the window; no share counts before one of the new length is over."""
        self._hold_s = window_s + LIST_VALID_S
        self._past.append(_NOT_LISTED._replace(ended_at=self._clock()))

    def share(self, reserve: float, service: str) -> float:
        """Return the share of ``reserve`` that this instance may have spent in a window at ``service``."""
        if not self.current:
            return 0
        since = self._clock() - self._hold_s
        while self._past and self._past[0].ended_at < since:
            self._past.popleft()
        return min(view.share(reserve, service) for view in (self._view, *self._past))

    def _set_view(self, view: _View) -> bool:
        if view == self._view:
            return False
        self._past.append(self._view._replace(ended_at=self._clock()))
        self._view = view
        return True


def _order(name: str) -> tuple[int, str]:
    """Return a key that spreads names evenly, whatever they say of zones and numbers."""
    return zlib.crc32(name.encode()), name


__all__ = ('LIST_VALID_S', 'ReserveShare')
