"""What a request asks, without what is new with each attempt of its caller."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamepoint.front.request import FrontRequest

# Bytes of a content id. Of a million requests that are remembered, no two are
# taken for each other but once in some ten million such sets.
ID_BYTES = 8


def content_id(req: FrontRequest) -> str:
    """Return the same text for each attempt with one request, at any instance.

    Request ids are new with each attempt, and callers come through addresses
    that change; method, host, target and body stay, and so do the parts of a prompt.
    """
    digest = blake2b(digest_size=ID_BYTES)
    for text in (req.head.method, req.host.encode(), req.head.target, req.body):
        digest.update(len(text).to_bytes(ID_BYTES, 'big'))
        digest.update(text)
    if req.prompt is not None:
        digest.update(repr(req.prompt).encode())
    return digest.hexdigest()


__all__ = ('content_id',)
