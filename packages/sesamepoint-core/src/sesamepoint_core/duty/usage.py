"""Usage counts of client accounts by window of wall-clock time, and their totals over all instances.

Counts of one source only grow, so a message may arrive twice, late or never: the
instance that adds them up takes the largest for each account. An instance that
restarts counts from zero again, so each incarnation is a source of its own.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Number of windows that are kept: the current one, and those whose report may still be due.
MAX_WINDOWS = 8


class Source(NamedTuple):
    """One incarnation of one instance, whose counts only grow."""

    instance: str
    incarnation: int


class UsageMeter:
    """Counts requests that began to run through this instance, by account and window."""

    def __init__(self, window_s: float) -> None:
        """Count by windows of ``window_s`` seconds, the first of which began with 1970."""
        self._window_s = window_s
        self._counts: dict[int, Counter[str]] = {}

    def window_at(self, wall_s: float) -> int:
        """Return the window of a time, in seconds since 1970."""
        return int(wall_s // self._window_s)

    def end_of(self, window: int) -> float:
        """Return when a window ends, in seconds since 1970."""
        return (window + 1) * self._window_s

    def count(self, account: str, wall_s: float) -> None:
        """Count a request that began to run at ``wall_s``, in seconds since 1970."""
        window = self.window_at(wall_s)
        if window not in self._counts:
            self._counts[window] = Counter()
            for old in sorted(self._counts)[:-MAX_WINDOWS]:
                self._counts.pop(old)
        self._counts[window][account] += 1

    def counts(self, window: int) -> Mapping[str, int]:
        """Return the current counts of a window, by account."""
        return self._counts.get(window, {})


class _WindowCounts:
    """Counts of one window by source, and the instances whose counts are complete."""

    def __init__(self) -> None:
        self.counts: dict[Source, Counter[str]] = {}
        self.closed: set[str] = set()
        self._parts: dict[Source, set[int]] = {}

    def add(self, source: Source, counts: Iterable[tuple[str, int]]) -> None:
        largest = self.counts.setdefault(source, Counter())
        for account, requests in counts:
            largest[account] = max(largest[account], requests)

    def close(self, source: Source, part: int, parts: int) -> None:
        seen = self._parts.setdefault(source, set())
        seen.add(part)
        if len(seen) >= parts:
            self.closed.add(source.instance)


class UsageTotals:
    """Usage counts of all instances, as far as they are known here."""

    def __init__(self) -> None:
        """Start without counts."""
        self._windows: dict[int, _WindowCounts] = {}

    def add(self, source: Source, window: int, counts: Iterable[tuple[str, int]]) -> None:
        """Add some or all counts of one source."""
        self._window(window).add(source, counts)

    def close(self, source: Source, window: int, part: int, parts: int) -> None:
        """Note that one of ``parts`` messages with the final counts of a source was added."""
        self._window(window).close(source, part, parts)

    def missing(self, window: int, instances: Iterable[str]) -> list[str]:
        """Return the instances whose counts of a window are not complete yet."""
        closed = self._window(window).closed
        return [instance for instance in instances if instance not in closed]

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of a window over all sources, by account."""
        totals: Counter[str] = Counter()
        for counts in self._window(window).counts.values():
            totals.update(counts)
        return {account: requests for account, requests in sorted(totals.items()) if requests}

    def forget_before(self, window: int) -> None:
        """Drop the counts of windows before ``window``."""
        self._windows = {number: counts for number, counts in self._windows.items() if number >= window}

    def _window(self, window: int) -> _WindowCounts:
        if window not in self._windows:
            self._windows[window] = _WindowCounts()
            for old in sorted(self._windows)[:-MAX_WINDOWS]:
                self._windows.pop(old)
        return self._windows.get(window) or _WindowCounts()


__all__ = ('Source', 'UsageMeter', 'UsageTotals')
