"""Adapter of a model engine with an OpenAI-style HTTP API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from sesamepoint_core.decoding import decode_json
from sesamepoint_core.errors import UpstreamError
from sesamepoint.upstream.base import UPSTREAM_ADAPTERS, OrderRefusedError, UpstreamLoad
from sesamepoint.upstream.http_client import STATUS_OK, UpstreamHttpClient

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sesamepoint.link.messages import Job
    from sesamepoint.settings.model import ServiceSettings

SSE_DATA_PREFIX = b'data: '
DONE_LINE = b'data: [DONE]'


class CompletionChunk(msgspec.Struct):
    """The part of a streamed completion that is used."""

    choices: list[dict[str, object]]


@UPSTREAM_ADAPTERS.register('engine')
class EngineAdapter:
    """Streams and cancels completions, and orders role changes."""

    def __init__(self, http: UpstreamHttpClient) -> None:
        """Use ``http`` for all calls."""
        self._http = http

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> EngineAdapter:
        """Build from the settings of the upstream."""
        return cls(UpstreamHttpClient(cfg['url']))

    async def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Run a completion and yield its text as it arrives.

        Raises
        ------
        UpstreamError
            If the status is not 200, or the stream ended before ``[DONE]``.
        """
        body = _request_body(attempt, job)
        async with self._http.stream('POST', '/v1/completions', body) as reply:
            if reply.status != STATUS_OK:
                raise UpstreamError(f'status {reply.status}')
            async for line in _split_lines(reply.aiter_stream()):
                if line == DONE_LINE:
                    return
                if line.startswith(SSE_DATA_PREFIX):
                    yield _decode_text(line[len(SSE_DATA_PREFIX) :])
        # A body that ends without [DONE] is truncated, even if it is complete
        # for HTTP; the caller would take a part for the whole answer.
        raise UpstreamError('the stream ended without its end mark')

    async def cancel(self, attempt: str) -> None:
        """Stop the completion if it is running."""
        await self._http.call('POST', '/v1/cancel', msgspec.json.encode({'request_id': attempt}))

    async def load(self) -> UpstreamLoad:
        """Request the engine's load report."""
        reply = await self._http.call('GET', '/load', b'')
        if reply.status != STATUS_OK:
            raise UpstreamError(f'status {reply.status}')
        return UpstreamLoad(**decode_json(reply.content, dict[str, Any]))

    async def order(self, role: str, fence: int) -> None:
        """Order the engine to change to ``role``, with the fencing token ``fence``."""
        body = msgspec.json.encode({'role': role, 'fence': fence})
        reply = await self._http.call('POST', '/orders', body)
        if reply.status != STATUS_OK:
            raise OrderRefusedError(reply.content.decode(errors='replace'))


def _request_body(attempt: str, job: Job) -> bytes:
    caller_fields = decode_json(job.body, dict[str, Any])
    engine_fields = {'stream': True, 'request_id': attempt, 'priority': int(job.urgent), 'prefix': job.prefix}
    sizes = {'prompt_tokens': job.prompt_tokens, 'prefix_tokens': job.prefix_tokens, 'max_tokens': job.output_tokens}
    return msgspec.json.encode({**caller_fields, **engine_fields, **sizes})


def _decode_text(payload: bytes) -> bytes:
    chunk = decode_json(payload, CompletionChunk)
    return str(chunk.choices[0]['text']).encode()


async def _split_lines(parts: object) -> AsyncGenerator[bytes, None]:
    unfinished = b''
    async for part in parts:  # type: ignore[attr-defined]
        *lines, unfinished = (unfinished + part).split(b'\n')
        for line in lines:
            yield line.rstrip(b'\r')


__all__ = ('EngineAdapter',)
