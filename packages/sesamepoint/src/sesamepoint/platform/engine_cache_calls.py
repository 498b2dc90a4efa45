"""Calls that list the prefix blocks in an engine's cache and free its memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint_core.field_types import Tokens
from sesamepoint_core.serving.prompt import Part
from sesamepoint_core.serving.runner import StartMs
from sesamepoint.http1.client import MAX_LIST_BYTES
from sesamepoint.http1.documents import decode_document
from sesamepoint.http1.messages import ConnBrokenError, RequestHead
from sesamepoint.platform.wire_names import KV_HANDLE_PATH, KV_LIST_PATH

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.client import ClientConn

STATUS_OK = 200


class _CachedBlock(msgspec.Struct, array_like=True):
    # Empty on current deployments.
    group: str
    key: str
    tokens: Tokens
    model: str


class _CachedBlocksReply(msgspec.Struct):
    # All prefix blocks in the cache, not those held for a caller.
    held: list[_CachedBlock]
    # Start time of the engine's incarnation; not all deployments send it.
    born: StartMs = 0


class CachedBlocks(NamedTuple):
    """The prefix blocks in an engine's cache, and the start time of the engine.

    ``born_ms`` is as in :class:`~sesamepoint_core.serving.runner.Runner`.
    """

    blocks: tuple[Part, ...]
    born_ms: int


async def list_cached_blocks(conn: ClientConn, address: Address) -> CachedBlocks:
    """Return the prefix blocks in the cache of the engine at ``address``.

    Raises
    ------
    ConnBrokenError
        If there was no response, or one with another status or a malformed body.
    """
    request = RequestHead(b'GET', KV_LIST_PATH.encode(), _request_headers(address))
    head, body = await conn.exchange(request, max_bytes=MAX_LIST_BYTES)
    if head.status != STATUS_OK:
        raise ConnBrokenError(f'status {head.status}')
    reply = decode_document(body, _CachedBlocksReply)
    return CachedBlocks(tuple(Part(block.key, block.tokens) for block in reply.held), reply.born)


async def free_kv_handle(conn: ClientConn, address: Address, kv_handle: str) -> None:
    """Make the engine at ``address`` free the KV cache of a prompt that it prefilled.

    Raises
    ------
    ConnBrokenError
        If the connection ended before the response.
    """
    target = f'{KV_HANDLE_PATH}{kv_handle}'.encode()
    await conn.exchange(RequestHead(b'DELETE', target, (*_request_headers(address), (b'content-length', b'0'))))


def _request_headers(address: Address) -> tuple[tuple[bytes, bytes], ...]:
    return ((b'host', str(address).encode()),)


__all__ = ('CachedBlocks', 'free_kv_handle', 'list_cached_blocks')
