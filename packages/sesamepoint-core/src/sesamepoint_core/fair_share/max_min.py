"""Max-min fair division of capacity by water filling."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


# Sums of floats whose terms come in another order differ by less than this share. Without it
# the largest account could be above its share while all demands are met.
ROUNDING = 1e-9


class Demand(NamedTuple):
    """Work that a number of accounts ask for together, in seconds."""

    work_s: float
    accounts: int = 1

    @property
    def per_account_s(self) -> float:
        """Return the mean work that one of the accounts asks for, in seconds."""
        return self.work_s / self.accounts


def fair_level(demands: Iterable[Demand], capacity_s: float) -> float:
    """Return the most work that one account gets by max-min fairness, in seconds.

    An account gets what it asks for if that is less than the level, and the level
    otherwise. The level is infinite if ``capacity_s`` covers all demands.
    """
    ascending = sorted(demands, key=_per_account_s)
    accounts = sum(demand.accounts for demand in ascending)
    left_s = capacity_s * (1 + ROUNDING)
    for demand in ascending:
        if demand.per_account_s * accounts > left_s:
            return max(left_s, 0) / accounts
        left_s -= demand.work_s
        accounts -= demand.accounts
    return math.inf


def _per_account_s(demand: Demand) -> float:
    return demand.per_account_s


__all__ = ('Demand', 'fair_level')
