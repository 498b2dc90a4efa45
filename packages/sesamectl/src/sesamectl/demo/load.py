"""Load of the demo: callers over HTTP."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import httpcore
import msgspec
import trio

from sesamepoint.link.messages import DEADLINE_PASSED
from sesamepoint_core.units import MS_PER_S
from sesamepoint_standins.engine_model import answer_seed, answer_text

if TYPE_CHECKING:
    from sesamectl.demo.deployment import DemoDeployment

STATUS_OK = 200
LONG_PROMPT_CHARS = 24_000
SHORT_PROMPT_CHARS = 800
LONG_PROMPT_ANSWER_TOKENS = 24
SHORT_PROMPT_ANSWER_TOKENS = 60
TIMEOUT_MS = 8000
MEAN_PAUSE_S = 0.3
PAUSE_FACTORS = (0.5, 1.5)
MAX_CONNECTIONS = 64


class Call(NamedTuple):
    """One request of the demo."""

    main: bool
    prompt: str
    tokens: int
    key: str


class CallEnd(NamedTuple):
    """Outcome of a call: its tag, and whether the text was correct."""

    main: bool
    tag: str
    correct: bool
    took_s: float


class Load:
    """Sends a mix of long and short prompts."""

    def __init__(self, deployment: DemoDeployment, model: str, seed: int) -> None:
        """Prepare to send to the instances of ``deployment``."""
        self.ended: list[CallEnd] = []
        self._deployment = deployment
        self._model = model
        self._rng = Random(seed)
        self._pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)
        self._sent = 0

    async def run(self, seconds: float, long_share: float) -> None:
        """Send for some seconds, with a share of long prompts; wait for the answers."""
        stop_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < stop_at:
                nursery.start_soon(self._call, self._next_call(long_share))
                await trio.sleep(MEAN_PAUSE_S * self._rng.uniform(*PAUSE_FACTORS))

    def _next_call(self, long_share: float) -> Call:
        self._sent += 1
        main = self._rng.random() < long_share
        text = f'{self._model} {self._sent} '
        prompt = text.ljust(LONG_PROMPT_CHARS if main else SHORT_PROMPT_CHARS, '.')
        key = f'{self._model}-{self._sent}' if main else ''
        return Call(main, prompt, LONG_PROMPT_ANSWER_TOKENS if main else SHORT_PROMPT_ANSWER_TOKENS, key)

    async def _call(self, call: Call) -> None:
        started = trio.current_time()
        entry = self._rng.choice(self._deployment.entries)
        body = msgspec.json.encode({'model': self._model, 'prompt': call.prompt, 'max_tokens': call.tokens})
        url = f'http://{entry}/v1/completions'
        reply = await self._pool.request('POST', url, headers=_headers(call), content=body)
        self._record_end(call, reply, trio.current_time() - started)

    def _record_end(self, call: Call, reply: httpcore.Response, took_s: float) -> None:
        answer: Any = msgspec.json.decode(reply.content)
        if reply.status != STATUS_OK:
            error = answer['error']
            tag = 'late' if error['code'] == DEADLINE_PASSED else error['outcome']
            self.ended.append(CallEnd(call.main, tag, correct=True, took_s=took_s))
            return
        right = answer['choices'][0]['text'] == answer_text(answer_seed(call.prompt.encode()), 0, call.tokens)
        tag = 'answered' if took_s * MS_PER_S <= TIMEOUT_MS else 'late'
        self.ended.append(CallEnd(call.main, tag, right, took_s))


def _headers(call: Call) -> list[tuple[bytes, bytes]]:
    headers = [(b'x-timeout-ms', b'%d' % TIMEOUT_MS), (b'x-priority', b'main' if call.main else b'small')]
    if call.key:
        headers.extend([(b'idempotency-key', call.key.encode()), (b'x-repeatable', b'false')])
    return headers


__all__ = ('CallEnd', 'Load')
