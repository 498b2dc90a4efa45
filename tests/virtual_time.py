"""A decorator that runs tests in virtual time, and callers that record their answers."""

from __future__ import annotations

from functools import wraps
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import trio

from sesamepoint.entry.request import CallerRequest
from sesamepoint.link.messages import Job
from sesamepoint_standins.engine_model import answer_seed, answer_text
from sesamepoint_standins.virtual_time import disable_logging, run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint_core.answer.outcome import Outcome
    from sesamepoint_standins.deployment_bench import DeploymentBench

SETTLE_S = 5.0

disable_logging()


def in_virtual_time(test: Callable[[Any], Awaitable[None]]) -> Callable[[Any], None]:
    """Run an async test method on a virtual clock that skips idle time."""

    @wraps(test)
    def run(case: Any) -> None:
        run_virtual(test, case)

    return run


class CallRecord(NamedTuple):
    """What a caller received: the outcome, the text, and the seconds until it was complete."""

    outcome: Outcome
    text: str
    took_s: float


def request(**changes: Any) -> CallerRequest:
    """Return an unstreamed completion request: a prompt of 1,200 tokens and an answer of 40."""
    job_changes = {name: changes.pop(name) for name in tuple(changes) if name in Job._fields}
    fields: dict[str, Any] = {
        'kind': 'engine',
        'method': 'POST',
        'path': '/v1/completions',
        'body': b'{}',
        'prompt_tokens': 1200,
        'output_tokens': 40,
        'urgent': True,
        'prefix': '',
        'prefix_tokens': 0,
    }
    job = Job(**{**fields, **job_changes})
    base: dict[str, Any] = {
        'fleet': 'verdict-llm',
        'job': job,
        'timeout_s': 30.0,
        'repeatable': True,
        'key': '',
        'account': 'a1',
        'streamed': False,
    }
    return CallerRequest(**{**base, **changes})


def unique_body(number: int) -> bytes:
    """Return a request body that is unique to ``number``."""
    return msgspec.json.encode({'prompt': f'survey {number}'})


def expected_text(req: CallerRequest) -> str:
    """Return the whole text that a stand-in engine generates for a request."""
    return answer_text(answer_seed(req.job.body), 0, req.job.output_tokens)


async def send_request(bed: DeploymentBench, req: CallerRequest, entry: str = 'entry-1') -> CallRecord:
    """Send a request to an instance and record the answer."""
    chunks: list[bytes] = []

    async def emit(chunk: bytes) -> None:
        chunks.append(chunk)

    started = trio.current_time()
    outcome = await bed.entries[entry].entry.serve(req, emit)
    return CallRecord(outcome, b''.join(chunks).decode(), trio.current_time() - started)


class ConcurrentCalls:
    """Sends requests concurrently and records the answers."""

    def __init__(self, bed: DeploymentBench, nursery: trio.Nursery) -> None:
        """Send to the instances of a deployment from tasks in ``nursery``."""
        self.records: list[tuple[CallerRequest, CallRecord]] = []
        self._bed = bed
        self._nursery = nursery

    def send(self, req: CallerRequest, entry: str = 'entry-1') -> None:
        """Send a request without waiting for its answer."""
        self._nursery.start_soon(self._send, req, entry)

    async def _send(self, req: CallerRequest, entry: str) -> None:
        self.records.append((req, await send_request(self._bed, req, entry)))


def replace_all_agents(bed: DeploymentBench) -> None:
    """Kill every agent and start its successor immediately."""
    for runner in tuple(bed.agents):
        bed.agents[runner].scope.cancel()
        bed.start_agent(runner)


async def settle(seconds: float = SETTLE_S) -> None:
    """Let the deployment run for some seconds."""
    await trio.sleep(seconds)


__all__ = (
    'CallRecord',
    'ConcurrentCalls',
    'expected_text',
    'in_virtual_time',
    'replace_all_agents',
    'request',
    'send_request',
    'settle',
    'unique_body',
)
