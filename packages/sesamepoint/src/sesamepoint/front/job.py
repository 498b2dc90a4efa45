"""A request on its way, and what was tried for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from sesamepoint_core.serving.routes import Route
    from sesamepoint.front.reply import Reply
    from sesamepoint.front.request import FrontRequest

# Taken off the time that a runner gets, so that its last word still reaches
# the caller.
RETURN_S = 0.01


class Job:
    """One request with its route, its deadline and its history."""

    def __init__(self, req: FrontRequest, route: Route, service: str, reply: Reply) -> None:
        """Nothing has been tried yet."""
        self.req = req
        self.route = route
        self.service = service
        self.reply = reply
        self.deadline = req.arrived + min(req.deadline_s or route.timeout_s, route.timeout_s)
        self.sends = 0
        self.maybe_run = False
        self.tried: set[str] = set()
        self.path = ''

    @property
    def left_s(self) -> float:
        """Return the seconds that a runner may take from now on."""
        return self.deadline - trio.current_time() - RETURN_S


__all__ = ('Job',)
