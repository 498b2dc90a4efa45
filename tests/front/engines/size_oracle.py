"""Shares of callers that were served, by the part of the sizes of their kind of request."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.admit.request_size import FIFTH_BELOW, LARGEST_TENTH, OTHER_SIZES, part_of_sizes

if TYPE_CHECKING:
    from collections.abc import Sequence


class ServedCaller(NamedTuple):
    """What became of one caller over all of its attempts; ``first_s`` counts from its first attempt."""

    size: int
    served: bool
    first_s: float


class PartShares(NamedTuple):
    """Shares of the callers that were served: all, the largest tenth, the fifth below it, and the others."""

    whole: float
    largest: float
    fifth: float
    others: float

    @property
    def worst_ratio(self) -> float:
        """Return how often the worse of the two large parts is served, as a ratio to the whole kind."""
        return min(self.largest, self.fifth) / self.whole


def part_shares(callers: Sequence[ServedCaller], within_s: float) -> PartShares:
    """Return the shares of callers whose first event came within ``within_s`` seconds and whose answer was whole."""
    sizes = [caller.size for caller in callers]
    by_part: dict[str, list[bool]] = defaultdict(list)
    for caller in callers:
        served = caller.served and caller.first_s <= within_s
        by_part[part_of_sizes(caller.size, sizes)].append(served)
    whole = [served for part in by_part.values() for served in part]
    return PartShares(
        _share(whole), _share(by_part[LARGEST_TENTH]), _share(by_part[FIFTH_BELOW]), _share(by_part[OTHER_SIZES])
    )


def _share(served: Sequence[bool]) -> float:
    return sum(served) / max(len(served), 1)


__all__ = ('PartShares', 'ServedCaller', 'part_shares')
