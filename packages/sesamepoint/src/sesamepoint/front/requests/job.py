"""A request in progress: its deadlines, its attempts and what is logged of it."""

from __future__ import annotations

from collections.abc import Callable
from functools import cached_property, partial
from typing import TYPE_CHECKING, Protocol

import trio

from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint_core.stream_origin.origin import StreamOrigin
from sesamepoint.front.quarantine.content_id import content_id, shared_parts
from sesamepoint.front.requests.access_state import AccessState
from sesamepoint.front.requests.arrivals import Arrivals
from sesamepoint.front.requests.request_trace import RequestTrace
from sesamepoint.front.requests.sent_runner import SentRunner
from sesamepoint.front.requests.retry_after import default_retry_after_s
from sesamepoint.front.streams.stream_state import StreamState

if TYPE_CHECKING:
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint_core.serving.prompt import Part
    from sesamepoint_core.serving.routes import Configuration, Route
    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.front.quarantine.probes import RequestProbe
    from sesamepoint.front.requests.reply import Reply
    from sesamepoint.front.requests.request import FrontRequest

# Subtracted from the time that a runner gets, so that the end of its answer
# still reaches the caller in time.
ANSWER_MARGIN_S = 0.01
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
# Retry-After where nothing better is known, as for a short lack of runners, in seconds.
RETRY_SOON_S = 0.1
# Callers wait for the first event of a stream for the longest of: this many
# seconds, this many target latencies, this many times the allowed pause
# (published by the operator of the callers).
MIN_FIRST_EVENT_WAIT_S = 2.0
FIRST_EVENT_WAIT_TARGETS = 4.0
FIRST_EVENT_WAIT_PAUSES = 8.0


JobCallback = Callable[['Job'], None]


class JobAdmission(Protocol):
    """Refuses requests that this process would serve late, by what it learns from others."""

    def refuses(self, job: Job) -> bool:
        """Return whether ``job`` is to be refused, and prepare its refusal."""

    def note_first_send(self, job: Job) -> None:
        """Learn from the first send of a request."""

    def note_end(self, job: Job) -> None:
        """Learn from the end of a request."""


class StreamFollower(Protocol):
    """Keeps what the first runner of a stream fixed, over the attempts of its caller."""

    def configure(self, cfg: Configuration) -> None:
        """Take a new configuration into account."""

    def follow(self, job: Job) -> None:
        """Prepare for the first event of a request."""

    async def resolve(self, job: Job) -> bool:
        """Find the stream that a request goes on with; return False if the request must be refused."""


class Job:
    """A request in progress, with its route, its deadlines and its attempts."""

    def __init__(
        self, req: FrontRequest, route: Route, service: str, reply: Reply, *, caller_retry: bool = False
    ) -> None:
        """Start without attempts; the flag marks a retry of the caller after a refusal or a failure."""
        self.caller_retry = caller_retry
        self.req = req
        self.route = route
        self.service = service
        self.reply = reply
        self.sends = 0
        self.may_have_run = False
        # By runner key, in the order of the attempts.
        self.tried_runners: dict[str, Incarnation] = {}
        self.trace = RequestTrace()
        # Whether a remote prefill is allowed: the first is free, further ones use the retry budget.
        self.allow_remote_prefill = True
        # None if the caller has no reason to retry at any time.
        self.retry_after_s: float | None = RETRY_SOON_S
        # Runners that ended during the latest send, until the quarantine has counted them.
        self.ended_runners: list[SentRunner] = []
        # Set while the request is sent alone, as a probe for a suspected poison request.
        self.probe: RequestProbe | None = None
        self.access = AccessState()

    @cached_property
    def stream(self) -> StreamState:
        """Return what is known of the stream."""
        return StreamState()

    @cached_property
    def arrivals(self) -> Arrivals:
        """Return the count of the arrivals at runners."""
        return Arrivals()

    @cached_property
    def deadline(self) -> float:
        """Return until when the caller waits for the whole answer, or this instance stops, on trio's clock."""
        allowed_s = min(self.req.deadline_s or self.route.timeout_s, self.route.timeout_s)
        return min(self.req.arrived_at + allowed_s, self.access.stops_at)

    @cached_property
    def first_output_deadline(self) -> float:
        """Return until when the caller waits for the first part of the answer, on trio's clock."""
        if not self.route.streamed:
            return self.deadline
        return min(self.deadline, self.req.arrived_at + self.event_wait_s)

    @cached_property
    def event_wait_s(self) -> float:
        """Return for how many seconds the caller of a stream waits for an event before it disconnects."""
        route = self.route
        return max(
            MIN_FIRST_EVENT_WAIT_S, FIRST_EVENT_WAIT_TARGETS * route.target_s, FIRST_EVENT_WAIT_PAUSES * route.pause_s
        )

    def shorten(self, until: float) -> None:
        """Let the request end by ``until`` on trio's clock, when this instance stops."""
        self.access.stops_at = until
        for name in ('deadline', 'first_output_deadline'):
            # Computed anew at the next use.
            self.__dict__.pop(name, None)

    @property
    def goes_on(self) -> bool:
        """Tell whether events of its runner join those that the caller has already."""
        if self.route.repeat is not RepeatPolicy.resume:
            return False
        return self.stream.begun or self.req.continuation.has_events

    def note_event_of(self, runner: Runner, *, start_known: bool) -> None:
        """Record that an event that ``runner`` made goes to the caller; the first one fixes the origin.

        Parameters
        ----------
        start_known
            Whether the runner is known to be the incarnation that its registration describes. Another one may have
            another version, so that nobody may go on with the stream.
        """
        stream = self.stream
        if stream.begun or self.route.repeat is not RepeatPolicy.resume:
            return
        stream.begun = True
        if stream.origin is None:
            stream.origin = StreamOrigin(runner.service, runner.software_version if start_known else None)
        if stream.on_begun is not None:
            stream.on_begun(stream.origin)

    @cached_property
    def content_id(self) -> str:
        """Return an id that is the same for each attempt of the caller, at any instance."""
        return content_id(self.req)

    @cached_property
    def shared_parts(self) -> tuple[Part, ...]:
        """Return the parts of the prompt that other requests may share; none without a prompt."""
        return shared_parts(self.req.prompt)

    @property
    def is_trial(self) -> bool:
        """Return whether the request is sent alone to try a part that is in quarantine."""
        return self.probe is not None and self.probe.trial

    @property
    def priority(self) -> int:
        """Return the priority of the account if it has one, else that of the route; 0 is the most urgent."""
        account = self.access.account
        if account is None or account.priority is None:
            return self.route.priority
        return account.priority

    def note_sent_to(self, runner: Runner, incarnation: Incarnation) -> None:
        """Record to which runner the request is sent now."""
        self.tried_runners[runner.key] = incarnation
        self.trace.last_runner = SentRunner(incarnation, runner.software_version)

    def set_no_runner_retry(self) -> None:
        """Set the Retry-After for a lack of runners of unknown duration."""
        if not self.sends:
            self.retry_after_s = default_retry_after_s(self.caller_left_s)

    def note_first_output(self) -> None:
        """Record that the first part of the answer goes to the caller."""
        if self.trace.first_output_at is None:
            self.trace.first_output_at = trio.current_time()
            self.note_run_started()

    def note_run_started(self) -> None:
        """Record that a runner has begun to run the request; later runs are not counted."""
        if not self.access.run_started:
            self.access.run_started = True
            if self.access.on_run_started is not None:
                self.access.on_run_started()

    @property
    def target_left_s(self) -> float:
        """Return the seconds from now within which an answer meets its target latency.

        This is 0 for a retry of the caller, whose time has run since its first
        attempt.
        """
        if self.caller_retry:
            return 0
        return self.req.arrived_at + self.route.target_s - trio.current_time()

    def was_on_time(self, took_s: float) -> bool:
        """Return whether a request that took ``took_s`` met its target latency.

        For streams, the first event and each pause must meet their limits.
        """
        if self.caller_retry or self.reply.unfinished or not is_success(self.reply.status):
            return False
        if not self.route.streamed:
            return took_s <= self.route.target_s
        first_at = self.trace.first_output_at or trio.current_time()
        if first_at - self.req.arrived_at > self.route.target_s:
            return False
        return not self.route.pause_s or self.trace.longest_pause_s <= self.route.pause_s

    @property
    def caller_left_s(self) -> float:
        """Return the seconds that the caller has left, retries included; the route may allow less for this request."""
        left_s = self.req.left_s(trio.current_time())
        return self.left_s if left_s is None else left_s

    @property
    def first_output_left_s(self) -> float:
        """Return the seconds left for the first part of the answer, or for the next one if it has begun."""
        now = trio.current_time()
        if self.stream.begun:
            return min(self.deadline - now, self.event_wait_s)
        return self.first_output_deadline - now

    @property
    def left_s(self) -> float:
        """Return the seconds that a runner has left for its answer."""
        return self.deadline - trio.current_time() - ANSWER_MARGIN_S


def is_success(status: int) -> bool:
    """Return whether ``status`` is a success (2xx)."""
    return FIRST_SUCCESS <= status < FIRST_REDIRECT


def bound_to(job: Job, callback: JobCallback | None) -> Callable[[], None] | None:
    """Return a callback that is called with ``job``; None without one."""
    return partial(callback, job) if callback else None


__all__ = (
    'MIN_FIRST_EVENT_WAIT_S',
    'RETRY_SOON_S',
    'Job',
    'JobAdmission',
    'JobCallback',
    'bound_to',
    'StreamFollower',
    'is_success',
)
