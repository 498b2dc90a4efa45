"""A request on its way, and what was tried for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

import trio

from sesamepoint.front.cause import Cause
from sesamepoint.front.content import content_id
from sesamepoint.front.return_time import when_unknown_s

if TYPE_CHECKING:
    from sesamepoint_core.serving.accounts import Account, KeyFault
    from sesamepoint_core.serving.routes import Route
    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.reply import Reply
    from sesamepoint.front.request import FrontRequest
    from sesamepoint.front.trials import Trial

# Taken off the time that a runner gets, so that its last word still reaches
# the caller.
RETURN_S = 0.01
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
# When a caller may come back after a moment of bad luck, in seconds.
SOON_S = 0.1
# Callers wait for a stream's first event for the longest of these: seconds,
# multiples of the time in which it is on time, multiples of a pause (published
# by the callers' operator).
MIN_STREAM_PATIENCE_S = 2.0
TARGETS_WAITED = 4.0
PAUSES_WAITED = 8.0


@dataclass
class Notes:
    """What the log line and the metrics tell of a request.

    Parameters
    ----------
    first_at
        When the caller got the first of its answer, on trio's clock.
    sent_at
        When it was sent last, on trio's clock.
    prefill_s
        How long reading the prompt apart took.
    held_s
        How long it waited here for an engine.
    wait_expected_s
        How long it was to wait, as estimated when it came.
    cause
        Why its answer is no whole one.
    refused
        Whether it was turned away since engines are too busy.
    held_back
        Why it was not sent, if it may be that it ends its runners.
    withheld
        How often nothing was sent to a runner that had been chosen.
    passed_over
        Runners that it could not be sent to at the moment of a choice, as they rested or by their limits.
    decision
        The newest choice of a path, with the figures that decided it.
    """

    first_at: float | None = None
    sent_at: float = 0
    longest_pause_s: float = 0
    prefill_s: float | None = None
    held_s: float = 0
    wait_expected_s: float | None = None
    need: str = ''
    cause: Cause = Cause.none
    held_back: Cause = Cause.none
    refused: bool = False
    withheld: int = 0
    passed_over: set[str] = field(default_factory=set)
    decision: dict[str, object] = field(default_factory=dict)


OnRun = Callable[['Job'], None]


@dataclass
class Standing:
    """Whose request it is, and whether it may still be sent.

    Parameters
    ----------
    account
        None if it is nobody's.
    denied
        Why it may not be sent any more: its key was taken since it came.
    scope
        Ends the work on it.
    permits
        Runners with a limit to which it may be sent once.
    ran
        Whether a runner has begun to run it.
    on_run
        Called when the first one has.
    """

    account: Account | None = None
    denied: KeyFault | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    permits: set[Start] = field(default_factory=set)
    ran: bool = False
    on_run: OnRun | None = None


class Job:
    """One request with its route, its deadline and its history."""

    def __init__(self, req: FrontRequest, route: Route, service: str, reply: Reply, *, returned: bool = False) -> None:
        """Nothing has been tried yet; ``returned`` if its caller comes back after a refusal or a failure."""
        self.returned = returned
        self.req = req
        self.route = route
        self.service = service
        self.reply = reply
        self.sends = 0
        self.maybe_run = False
        # By key, in the order in which they were tried.
        self.tried: dict[str, Start] = {}
        self.notes = Notes()
        # Whether its prompt may be read apart: the first time it is free.
        self.may_read_apart = True
        self.retry_after_s = SOON_S
        # The runners that ended under its newest send, until that is learned from.
        self.ended: list[Start] = []
        # Set while it is sent alone, as one that may end its runner.
        self.trial: Trial | None = None
        self.standing = Standing()

    @cached_property
    def deadline(self) -> float:
        """Return until when its caller waits, on trio's clock."""
        return self.req.arrived + min(self.req.deadline_s or self.route.timeout_s, self.route.timeout_s)

    @cached_property
    def first_deadline(self) -> float:
        """Return until when its caller waits for a first sign of an answer."""
        route = self.route
        if not route.streamed:
            return self.deadline
        # Callers leave a stream that shows nothing for so long.
        patience_s = max(MIN_STREAM_PATIENCE_S, TARGETS_WAITED * route.target_s, PAUSES_WAITED * route.pause_s)
        return min(self.deadline, self.req.arrived + patience_s)

    @cached_property
    def content_id(self) -> str:
        """Return what is the same for each attempt with this request, at any instance."""
        return content_id(self.req)

    @property
    def priority(self) -> int:
        """Return its rank: that of its account if it has one, else that of its route; 0 is the most urgent."""
        account = self.standing.account
        if account is None or account.priority is None:
            return self.route.priority
        return account.priority

    def note_no_runner(self) -> None:
        """Note that no runner is known that could take it; nobody knows until when."""
        if not self.sends:
            self.retry_after_s = when_unknown_s(self.caller_left_s)

    def note_first(self) -> None:
        """Note that the caller gets the first of its answer."""
        if self.notes.first_at is None:
            self.notes.first_at = trio.current_time()
            self.note_run()

    def note_run(self) -> None:
        """Note that a runner has begun to run it; more runs of it count as one."""
        if not self.standing.ran:
            self.standing.ran = True
            if self.standing.on_run is not None:
                self.standing.on_run(self)

    @property
    def on_time_s(self) -> float:
        """Return the seconds from now within which an answer is on time.

        None are left to a caller that comes back: its time runs since its
        first attempt.
        """
        if self.returned:
            return 0
        return self.req.arrived + self.route.target_s - trio.current_time()

    def was_on_time(self, took_s: float) -> bool:
        """Tell whether a request that took ``took_s`` was answered in time.

        Of streams that holds for the first event and for each pause.
        """
        if self.returned or self.reply.unfinished or not successful(self.reply.status):
            return False
        if not self.route.streamed:
            return took_s <= self.route.target_s
        first_at = self.notes.first_at or trio.current_time()
        if first_at - self.req.arrived > self.route.target_s:
            return False
        return not self.route.pause_s or self.notes.longest_pause_s <= self.route.pause_s

    @property
    def caller_left_s(self) -> float:
        """Return the seconds that the caller has, also to come back in; a route may allow one try less."""
        left_s = self.req.left_s(trio.current_time())
        return self.left_s if left_s is None else left_s

    @property
    def first_left_s(self) -> float:
        """Return the seconds that are left for a first sign of an answer."""
        return self.first_deadline - trio.current_time()

    @property
    def left_s(self) -> float:
        """Return the seconds that a runner may take from now on."""
        return self.deadline - trio.current_time() - RETURN_S


def successful(status: int) -> bool:
    """Tell whether an answer with ``status`` is a success."""
    return FIRST_SUCCESS <= status < FIRST_REDIRECT


__all__ = ('MIN_STREAM_PATIENCE_S', 'SOON_S', 'Job', 'Notes', 'OnRun', 'successful')
