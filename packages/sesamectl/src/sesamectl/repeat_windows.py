"""Repeats of all instances in the worst window of each service, against the bound on them."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from sesamepoint import events
from sesamectl.ended_requests import time_s
from sesamectl.log_lines import decode_line

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    AddLine = Callable[['RepeatLog', dict[str, Any]], None]

MS_A_SECOND = 1000


class Repeat(NamedTuple):
    """A send of a request beyond its first.

    Parameters
    ----------
    at
        When it was sent, or read, as a timestamp in seconds.
    reason
        Why it was sent, or what showed that it was read.
    """

    at: float
    process: str
    reason: str


class Bound(NamedTuple):
    """The bound on repeats that an instance logged; repeats allowed by each request, and beside."""

    ratio: float
    slack: float
    window_s: float


class WorstWindow(NamedTuple):
    """The window of a service that comes closest to its bound, or exceeds it by most.

    Parameters
    ----------
    began_at
        Timestamp in seconds.
    repeats
        The repeats of the window, in order of time.
    """

    service: str
    began_at: float
    repeats: Sequence[Repeat]
    requests: int
    allowed: float

    @property
    def excess(self) -> float:
        """Return the repeats beyond the bound; negative if it holds."""
        return len(self.repeats) - self.allowed

    def by(self, field_name: str) -> list[tuple[str, int]]:
        """Return the number of repeats for each value of a field, the largest first."""
        return Counter(getattr(repeat, field_name) for repeat in self.repeats).most_common()


@dataclass
class RepeatLog:
    """What logs say of repeats: sends beyond the first, when they were read, arrivals of requests, and the bound."""

    repeats: defaultdict[str, list[Repeat]] = field(default_factory=lambda: defaultdict(list))
    reads: defaultdict[str, list[Repeat]] = field(default_factory=lambda: defaultdict(list))
    arrived_at: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    bounds: list[tuple[float, Bound]] = field(default_factory=list)

    @classmethod
    def read(cls, logs: Iterable[str]) -> RepeatLog:
        """Collect the lines of all instances, in any order."""
        found = cls()
        for text in logs:
            fields = decode_line(text)
            if fields is not None:
                found._add(fields)
        found.bounds.sort()
        for arrived_at in found.arrived_at.values():
            arrived_at.sort()
        return found

    def worst_windows(self) -> list[WorstWindow]:
        """Return the worst window of each service with repeats, the worst service first."""
        return self._worst_by(self.repeats)

    def worst_read_windows(self) -> list[WorstWindow]:
        """Return the same by the times at which runners were seen to have read the repeats."""
        return self._worst_by(self.reads)

    def _worst_by(self, repeats: Mapping[str, list[Repeat]]) -> list[WorstWindow]:
        worst = [self._worst_of(service, repeats[service]) for service in sorted(repeats)]
        return sorted(worst, key=_excess, reverse=True)

    def _add(self, fields: dict[str, Any]) -> None:
        add = _LINES.get(fields['event'])
        if add is not None:
            add(self, fields)

    def _add_repeat(self, fields: dict[str, Any]) -> None:
        repeat = Repeat(time_s(fields['asctime']), fields['process'], fields['reason'])
        self.repeats[fields['service']].append(repeat)

    def _add_read(self, fields: dict[str, Any]) -> None:
        if fields['repeat']:
            read = Repeat(time_s(fields['asctime']), fields['process'], fields['sign'])
            self.reads[fields['service']].append(read)

    def _add_request(self, fields: dict[str, Any]) -> None:
        service = fields.get('service')
        if service is not None:
            self.arrived_at[service].append(time_s(fields['asctime']) - fields['took_ms'] / MS_A_SECOND)

    def _add_bound(self, fields: dict[str, Any]) -> None:
        ratio = fields.get('ratio')
        if ratio is not None:
            bound = Bound(ratio, fields['slack'], fields['window_s'])
            self.bounds.append((time_s(fields['asctime']), bound))

    def _bound_at(self, moment: float) -> Bound:
        """Return the bound in force at ``moment``, or the first one that was logged."""
        place = bisect_right(self.bounds, (moment, Bound(0, 0, 0)))
        return self.bounds[max(place - 1, 0)][1]

    def _worst_of(self, service: str, unsorted: Iterable[Repeat]) -> WorstWindow:
        """Return the worst window of a service, over all that begin with a repeat."""
        repeats = sorted(unsorted)
        times = [repeat.at for repeat in repeats]
        windows = []
        for first, began_at in enumerate(times):
            bound = self._bound_at(began_at)
            within = repeats[first : bisect_right(times, began_at + bound.window_s)]
            requests = _most_requests(self.arrived_at[service], began_at, bound.window_s)
            windows.append(WorstWindow(service, began_at, within, requests, bound.ratio * requests + bound.slack))
        return max(windows, key=_excess)


_LINES: Mapping[int, AddLine] = MappingProxyType(
    {
        events.REPEAT_SENT.number: RepeatLog._add_repeat,
        events.SEND_READ.number: RepeatLog._add_read,
        events.ANSWER_ENDED.number: RepeatLog._add_request,
        events.RETRY_SHARE_CHANGED.number: RepeatLog._add_bound,
    }
)


def _most_requests(arrived_at: Sequence[float], began_at: float, window_s: float) -> int:
    """Return the requests of the window, the one before it or the one half a window before it: whichever has most."""
    starts = (began_at - shift for shift in (0, window_s / 2, window_s))
    return max(_count(arrived_at, start, start + window_s) for start in starts)


def _count(times: Sequence[float], since: float, until: float) -> int:
    return bisect_right(times, until) - bisect_left(times, since)


def _excess(window: WorstWindow) -> float:
    return window.excess


__all__ = ('RepeatLog', 'WorstWindow')
