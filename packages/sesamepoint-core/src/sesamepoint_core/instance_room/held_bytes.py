"""Count of the bytes that an instance holds for callers and runners."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class HolderKind(StrEnum):
    """For whom bytes are held; ``request`` are the bodies that were received from a caller."""

    caller = 'caller'
    request = 'request'
    runner = 'runner'


class Holder(NamedTuple):
    """A far end for which bytes are held.

    Parameters
    ----------
    address
        Address of the caller or the runner.
    number
        Number of the connection, for callers and their requests; the connections of one runner share 0.
    """

    kind: HolderKind
    address: str
    number: int = 0


class HeldBytes:
    """Held bytes by holder and in total; holders without bytes are not kept."""

    def __init__(self) -> None:
        """Start without bytes."""
        self.total = 0
        self._by_holder: dict[Holder, int] = {}

    def add(self, holder: Holder, size: int) -> None:
        """Count ``size`` more bytes for ``holder``."""
        self.total += size
        self._by_holder[holder] = self._by_holder.get(holder, 0) + size

    def remove(self, holder: Holder, size: int) -> None:
        """Count ``size`` bytes less for ``holder``, at most what it has."""
        held = self._by_holder.get(holder, 0)
        self.total -= min(size, held)
        if size >= held:
            self._by_holder.pop(holder, None)
        else:
            self._by_holder[holder] = held - size

    def over(self, bound: float, more: float = 0) -> bool:
        """Return whether the total and ``more`` bytes exceed ``bound``."""
        return self.total + more > bound

    def held_for(self, holder: Holder) -> int:
        """Return the bytes held for ``holder``."""
        return self._by_holder.get(holder, 0)

    def held_at(self, kind: HolderKind, address: str) -> int:
        """Return the bytes held for all connections with ``address``."""
        return sum(size for one, size in self._by_holder.items() if (one.kind, one.address) == (kind, address))

    def held_by_kind(self, kind: HolderKind) -> int:
        """Return the bytes held for all holders of a kind."""
        return sum(size for one, size in self._by_holder.items() if one.kind is kind)

    def largest(self, kind: HolderKind) -> Holder | None:
        """Return the holder of ``kind`` with the most bytes; None if there is none."""
        of_kind = [one for one in self._by_holder if one.kind is kind]
        return max(of_kind, key=self._by_holder.__getitem__, default=None)

    def must_pause(self, holder: Holder, bound: float) -> bool:
        """Return whether nothing more may be read for ``holder``.

        Above ``bound``, each holder may hold an equal share of it, so that the
        largest are paused first and the others are not affected.
        """
        return self.over(bound) and self.held_for(holder) * len(self._by_holder) >= bound


__all__ = ('HeldBytes', 'Holder', 'HolderKind')
