"""A counter of the metrics page, as plain figures."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple


class Rows(NamedTuple):
    """A counter with one amount for each combination of its labels."""

    name: str
    text: str
    labels: tuple[str, ...]
    amounts: defaultdict[tuple[str, ...], float]

    @classmethod
    def empty(cls, name: str, text: str, *labels: str) -> Rows:
        """Return a counter without amounts."""
        return cls(name, text, labels, defaultdict(float))

    def add(self, *labels: str, amount: float = 1) -> None:
        """Increase the amount of one combination of labels."""
        self.amounts[labels] += amount


__all__ = ('Rows',)
