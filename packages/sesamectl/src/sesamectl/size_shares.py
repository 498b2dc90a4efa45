"""Shares of the callers that were served, by the part of their route's sizes."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.admit.request_size import LARGEST_TENTH, OTHER_SIZES, FIFTH_BELOW, part_of_sizes, request_size

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamectl.ended_requests import EndedRequest

PARTS = (LARGEST_TENTH, FIFTH_BELOW, OTHER_SIZES)


class SizeShare(NamedTuple):
    """What became of the callers of one part of the sizes of a route.

    Parameters
    ----------
    callers
        Callers of the part; one that came back counts once.
    served, on_time, refused
        Callers that got a whole answer, got it on time, and were refused at least once.
    of_route
        Share of all callers of the route that were served.
    """

    route: str
    part: str
    callers: int
    served: int
    on_time: int
    refused: int
    of_route: float


class _Caller:
    """One caller, over all of its attempts."""

    def __init__(self, ended: EndedRequest) -> None:
        self.size = request_size(ended.tokens, ended.answer_tokens)
        self.served = False
        self.on_time = False
        self.refused = False

    def add(self, ended: EndedRequest) -> None:
        self.served = self.served or ended.whole
        self.on_time = self.on_time or ended.on_time
        self.refused = self.refused or ended.refused


def size_shares(ended: Iterable[EndedRequest]) -> list[SizeShare]:
    """Return a row for each route with prompts and each part of its sizes."""
    by_route: dict[str, dict[str, _Caller]] = defaultdict(dict)
    for request in ended:
        if request.tokens:
            key = request.content_id or request.request
            by_route[request.route].setdefault(key, _Caller(request)).add(request)
    return [row for route in sorted(by_route) for row in _rows_of_route(route, list(by_route[route].values()))]


def _rows_of_route(route: str, callers: list[_Caller]) -> list[SizeShare]:
    sizes = [caller.size for caller in callers]
    by_part: dict[str, list[_Caller]] = defaultdict(list)
    for caller in callers:
        by_part[part_of_sizes(caller.size, sizes)].append(caller)
    of_route = sum(one.served for one in callers) / len(callers)
    return [_row(route, part, by_part[part], of_route) for part in PARTS if by_part[part]]


def _row(route: str, part: str, callers: list[_Caller], of_route: float) -> SizeShare:
    return SizeShare(
        route,
        part,
        len(callers),
        served=sum(caller.served for caller in callers),
        on_time=sum(caller.on_time for caller in callers),
        refused=sum(caller.refused for caller in callers),
        of_route=of_route,
    )


__all__ = ('SizeShare', 'size_shares')
