"""Requests in progress, so that those with a part in quarantine are withdrawn from their runners."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.requests.failure_cause import FailureCause

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint.front.requests.job import Job


class ActiveSends:
    """Attempts in progress whose prompts have parts that other requests share."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._scopes: dict[Job, trio.CancelScope] = {}

    @contextmanager
    def track(self, job: Job) -> Iterator[None]:
        """Let an attempt of ``job`` be withdrawn while the body runs; the body is cancelled then."""
        if not job.shared_parts:
            yield
            return
        with trio.CancelScope() as scope:
            self._scopes[job] = scope
            try:
                yield
            finally:
                self._scopes.pop(job)

    def withdraw(self, key: str, retry_after_s: float) -> None:
        """Close the connections of requests with a part to runners that have not begun to answer.

        A runner drops a request whose connection is closed; one that has begun to write ends in any case.
        """
        for job, scope in tuple(self._scopes.items()):
            if job.probe is not None or job.trace.first_output_at is not None or job.reply.started:
                continue
            if any(part.key == key for part in job.shared_parts):
                job.trace.unsent_cause = FailureCause.withdrawn
                job.retry_after_s = retry_after_s
                events.log_event(
                    events.SEND_WITHDRAWN,
                    request=job.req.request_id,
                    content=job.content_id,
                    part=key,
                    runners=list(job.tried_runners),
                )
                scope.cancel()


__all__ = ('ActiveSends',)
