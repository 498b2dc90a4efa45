"""What client accounts used: counted by window of true time at each instance, added up by one.

Counts of one instance only grow, so that a word may come twice, late or never:
whoever adds up takes the largest for each account. A start of an instance counts
from nothing again, and is another source.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Windows that are remembered: the one under way, and those whose report may still
# be due.
KEPT_WINDOWS = 8


class Source(NamedTuple):
    """One start of one instance."""

    entry: str
    start: int


class UsageMeter:
    """Counts what began to run through this instance."""

    def __init__(self, window_s: float) -> None:
        """Count by windows of ``window_s``, the first of which began with 1970."""
        self._window_s = window_s
        self._counts: dict[int, Counter[str]] = {}

    def window_at(self, wall_s: float) -> int:
        """Return the window of a moment, in seconds since 1970."""
        return int(wall_s // self._window_s)

    def end_of(self, window: int) -> float:
        """Return when a window ends, in seconds since 1970."""
        return (window + 1) * self._window_s

    def count(self, account: str, wall_s: float) -> None:
        """Count a request that began to run at a moment."""
        window = self.window_at(wall_s)
        if window not in self._counts:
            self._counts[window] = Counter()
            for old in sorted(self._counts)[:-KEPT_WINDOWS]:
                self._counts.pop(old)
        self._counts[window][account] += 1

    def counts(self, window: int) -> Mapping[str, int]:
        """Return the counts of a window as of now."""
        return self._counts.get(window, {})


class _Window:
    """What is known of one window, by source."""

    def __init__(self) -> None:
        self.counts: dict[Source, Counter[str]] = {}
        self.closed: set[str] = set()
        self._parts: dict[Source, set[int]] = {}

    def add(self, source: Source, counts: Iterable[tuple[str, int]]) -> None:
        known = self.counts.setdefault(source, Counter())
        for account, times in counts:
            known[account] = max(known[account], times)

    def close(self, source: Source, part: int, parts: int) -> None:
        seen = self._parts.setdefault(source, set())
        seen.add(part)
        if len(seen) >= parts:
            self.closed.add(source.entry)


class Tallies:
    """What all instances have counted, as far as it is known here."""

    def __init__(self) -> None:
        """Know of no counts."""
        self._windows: dict[int, _Window] = {}

    def add(self, source: Source, window: int, counts: Iterable[tuple[str, int]]) -> None:
        """Take counts of one source, some or all of them."""
        self._of(window).add(source, counts)

    def close(self, source: Source, window: int, part: int, parts: int) -> None:
        """Note that the ``part`` of ``parts`` that was added is as it will stay."""
        self._of(window).close(source, part, parts)

    def missing(self, window: int, entries: Iterable[str]) -> list[str]:
        """Return the instances whose counts of a window are not whole yet."""
        closed = self._of(window).closed
        return [entry for entry in entries if entry not in closed]

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of all sources together."""
        found: Counter[str] = Counter()
        for counts in self._of(window).counts.values():
            found.update(counts)
        return {account: times for account, times in sorted(found.items()) if times}

    def forget_before(self, window: int) -> None:
        """Drop what is known of earlier windows."""
        self._windows = {known: found for known, found in self._windows.items() if known >= window}

    def _of(self, window: int) -> _Window:
        if window not in self._windows:
            self._windows[window] = _Window()
            for old in sorted(self._windows)[:-KEPT_WINDOWS]:
                self._windows.pop(old)
        return self._windows.get(window) or _Window()


__all__ = ('Source', 'Tallies', 'UsageMeter')
