"""Calls to an engine besides requests: what it keeps, and giving memory back."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint_core.serving.prompt import Part
from sesamepoint_core.serving.runner import StartMs
from sesamepoint.http1.messages import ConnBrokenError, RequestHead
from sesamepoint.platform.names import KV_HANDLE_PATH, KV_LIST_PATH

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.client import ClientConn

STATUS_OK = 200


class _Kept(msgspec.Struct, array_like=True):
    # A field that holds an empty text on deployments of today.
    group: str
    key: str
    tokens: int
    model: str


class _KeptReply(msgspec.Struct):
    # Not what is held for a caller: each prompt part in the cache.
    held: list[_Kept]
    # When this start of the engine began; not all deployments tell it.
    born: StartMs = 0


class Kept(NamedTuple):
    """The prompt parts that an engine keeps, and the start that keeps them.

    ``born_ms`` is as in :class:`~sesamepoint_core.serving.runner.Runner`.
    """

    parts: tuple[Part, ...]
    born_ms: int


async def list_kept(conn: ClientConn, address: Address) -> Kept:
    """Return the prompt parts that the engine at ``address`` keeps.

    Raises
    ------
    ConnBrokenError
        If no answer came that makes sense.
    """
    head, body = await conn.ask(RequestHead(b'GET', KV_LIST_PATH.encode(), _headers(address)))
    if head.status != STATUS_OK:
        raise ConnBrokenError(f'status {head.status}')
    try:
        found = msgspec.json.decode(body, type=_KeptReply)
    except msgspec.DecodeError as exc:
        raise ConnBrokenError(str(exc)) from exc
    return Kept(tuple(Part(kept.key, kept.tokens) for kept in found.held), found.born)


async def free_handle(conn: ClientConn, address: Address, kv_handle: str) -> None:
    """Have the engine at ``address`` free the memory of a prompt that it read.

    Raises
    ------
    ConnBrokenError
        If the connection ended first.
    """
    target = f'{KV_HANDLE_PATH}{kv_handle}'.encode()
    await conn.ask(RequestHead(b'DELETE', target, (*_headers(address), (b'content-length', b'0'))))


def _headers(address: Address) -> tuple[tuple[bytes, bytes], ...]:
    return ((b'host', str(address).encode()),)


__all__ = ('Kept', 'free_handle', 'list_kept')
