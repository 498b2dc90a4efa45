"""Counts of requests with a prompt by the part of their route's sizes that they belong to."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from sesamepoint_core.admit.request_size import OTHER_SIZES, part_of_sizes, request_size
from sesamepoint.front.telemetry.rows import Rows

if TYPE_CHECKING:
    from sesamepoint.front.requests.job import Job

# Sizes of a route that are remembered: enough for its largest tenth to hold some tens.
SIZES_KEPT = 500
# Fewer sizes than this say nothing about a tenth of them.
MIN_SIZES = 20
# Routes that are counted by size; the requests of others are left out.
MAX_ROUTES = 50


class SizeParts:
    """Tells whether large requests are left unserved while smaller ones of their route are served."""

    def __init__(self) -> None:
        """Start without sizes."""
        self.rows = Rows.empty(
            'sesamepoint_requests_by_size',
            'Requests with a prompt, by the part of the recent sizes of their route, and what became of them.',
            'route',
            'part',
            'outcome',
        )
        self._sizes: dict[str, deque[int]] = {}

    def count(self, job: Job, outcome: str) -> None:
        """Count a request that has ended, at its place among the recent sizes of its route."""
        prompt = job.req.prompt
        if prompt is None:
            return
        route = job.route.name
        if route not in self._sizes and len(self._sizes) >= MAX_ROUTES:
            return
        sizes = self._sizes.setdefault(route, deque(maxlen=SIZES_KEPT))
        size = request_size(prompt.tokens, prompt.max_output)
        part = part_of_sizes(size, sizes) if len(sizes) >= MIN_SIZES else OTHER_SIZES
        if not job.caller_retry:
            sizes.append(size)
        self.rows.add(route, part, outcome)


__all__ = ('SizeParts',)
