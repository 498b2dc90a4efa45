"""A model engine with an OpenAI-style HTTP face."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sesamepoint_core.errors import UpstreamError
from sesamepoint.upstream.base import UPSTREAM_ADAPTERS, OrderRefusedError, UpstreamLoad
from sesamepoint.upstream.http import STATUS_OK, UpstreamHttp

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sesamepoint.link.messages import Job
    from sesamepoint.settings.model import ServiceSettings

DATA_PREFIX = b'data: '
DONE_LINE = b'data: [DONE]'


class CompletionChunk(msgspec.Struct):
    """The part of a streamed completion that is used."""

    choices: list[dict[str, object]]


@UPSTREAM_ADAPTERS.register('engine')
class EngineAdapter:
    """Streams completions, cancels them, orders roles."""

    def __init__(self, http: UpstreamHttp) -> None:
        """Use ``http_client`` for all calls."""
        self._http = http

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> EngineAdapter:
        """Build from the settings of the upstream."""
        return cls(UpstreamHttp(cfg['url']))

    async def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Run a completion and yield its text as it comes.

        Raises
        ------
        UpstreamError
            If the stream broke off before its end mark.
        """
        body = _engine_body(attempt, job)
        async with self._http.stream('POST', '/v1/completions', body) as reply:
            if reply.status != STATUS_OK:
                raise UpstreamError(f'status {reply.status}')
            async for line in _lines(reply.aiter_stream()):
                if line == DONE_LINE:
                    return
                if line.startswith(DATA_PREFIX):
                    yield _text(line[len(DATA_PREFIX) :])
        # A body that ends without the end mark is a torn answer, though HTTP
        # calls it complete; passed on, a caller would take half for whole.
        raise UpstreamError('the stream ended without its end mark')

    async def cancel(self, attempt: str) -> None:
        """Stop the completion, if it runs."""
        await self._http.call('POST', '/v1/cancel', msgspec.json.encode({'request_id': attempt}))

    async def load(self) -> UpstreamLoad:
        """Ask for the engine's report."""
        reply = await self._http.call('GET', '/load', b'')
        if reply.status != STATUS_OK:
            raise UpstreamError(f'status {reply.status}')
        return UpstreamLoad(**msgspec.json.decode(reply.content))

    async def order(self, role: str, fence: int) -> None:
        """Tell the engine to take ``role`` under ``fence``."""
        body = msgspec.json.encode({'role': role, 'fence': fence})
        reply = await self._http.call('POST', '/orders', body)
        if reply.status != STATUS_OK:
            raise OrderRefusedError(reply.content.decode(errors='replace'))


def _engine_body(attempt: str, job: Job) -> bytes:
    fields = msgspec.json.decode(job.body)
    own = {'stream': True, 'request_id': attempt, 'priority': int(job.urgent), 'prefix': job.prefix}
    sizes = {'prompt_tokens': job.prompt_tokens, 'prefix_tokens': job.prefix_tokens, 'max_tokens': job.output_tokens}
    return msgspec.json.encode({**fields, **own, **sizes})


def _text(payload: bytes) -> bytes:
    chunk = msgspec.json.decode(payload, type=CompletionChunk)
    return str(chunk.choices[0]['text']).encode()


async def _lines(parts: object) -> AsyncGenerator[bytes, None]:
    rest = b''
    async for part in parts:  # type: ignore[attr-defined]
        *whole, rest = (rest + part).split(b'\n')
        for line in whole:
            yield line.rstrip(b'\r')


__all__ = ('EngineAdapter',)
