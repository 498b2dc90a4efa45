"""Stand-in for a caller that takes up its stream at other instances when it breaks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.platform import wire_names
from sesamepoint_standins.platform.runner_answers import VERSION_MARK

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint.http1.messages import Headers
    from sesamepoint_standins.platform.caller import Caller, CallerAnswer, RequestSpec

STATUS_OK = 200
_EVENT_END = '\n\n'


class MarkedEvent(NamedTuple):
    """One event as a caller received it, with the version of the runner that made it."""

    number: int
    version: str


@dataclass
class TakenStream:
    """Events of one stream over the attempts of its caller."""

    events: list[MarkedEvent] = field(default_factory=list)
    answers: list[CallerAnswer] = field(default_factory=list)
    # Request id of the attempt that brought the first event.
    first_attempt: str = ''

    def add(self, attempt: RequestSpec, answer: CallerAnswer) -> None:
        """Add the answer to one attempt."""
        self.answers.append(answer)
        if answer.status == STATUS_OK:
            self.events.extend(marked_events(answer.body))
        if self.events and not self.first_attempt:
            self.first_attempt = attempt.request_id

    def resume_headers(self) -> Headers:
        """Return the headers that the next attempt adds; none as long as there is no event."""
        if not self.events:
            return ()
        last_event = str(self.events[-1].number).encode()
        return ((wire_names.LAST_EVENT_ID, last_event), (wire_names.RESUMES, self.first_attempt.encode()))

    @property
    def versions(self) -> set[str]:
        """Return the versions of the runners that made the events."""
        return {event.version for event in self.events}

    @property
    def mixed(self) -> bool:
        """Tell whether it holds events of two versions."""
        return len(self.versions) > 1

    @property
    def whole(self) -> bool:
        """Tell whether the last attempt was answered in full, and each event came once and in order."""
        numbers = [event.number for event in self.events]
        last = self.answers[-1]
        return last.complete and last.status == STATUS_OK and numbers == list(range(1, len(numbers) + 1))

    @property
    def ended(self) -> bool:
        """Tell whether an attempt was answered as complete."""
        return any(answer.complete and answer.status == STATUS_OK for answer in self.answers)

    @property
    def taken_up(self) -> bool:
        """Tell whether its caller tried to go on with events in hand."""
        return len(self.answers) > 1


async def stream_over_attempts(spec: RequestSpec, callers: Iterable[Caller], pause_s: float = 0.05) -> TakenStream:
    """Send ``spec``, and take the stream up with the next caller, after ``pause_s`` seconds, until it is whole.

    An attempt that brought no event is sent again as it was.
    """
    stream = TakenStream()
    for number, caller in enumerate(callers):
        request_id = f'{spec.request_id}.{number}' if number else spec.request_id
        attempt = spec._replace(request_id=request_id, extra=(*spec.extra, *stream.resume_headers()))
        answer = await caller.send(attempt)
        stream.add(attempt, answer)
        if answer.complete and answer.status == STATUS_OK:
            break
        await trio.sleep(pause_s)
    return stream


def marked_events(body: bytes) -> list[MarkedEvent]:
    """Return the complete events of a body."""
    *complete, _ = body.decode().split(_EVENT_END)
    return [_marked_event(event) for event in complete]


def _marked_event(event: str) -> MarkedEvent:
    number, _, data_line = event.removeprefix('id: ').partition('\n')
    return MarkedEvent(int(number), data_line.partition(VERSION_MARK)[2])


__all__ = ('MarkedEvent', 'TakenStream', 'marked_events', 'stream_over_attempts')
