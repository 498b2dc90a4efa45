"""Content ids, which are the same for all attempts of a caller at one request."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from sesamepoint_core.serving.prompt import Part

if TYPE_CHECKING:
    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint.front.requests.request import FrontRequest

# Bytes of a content id: two of a million remembered requests share an id in about
# one of ten million such sets.
CONTENT_ID_BYTES = 8
# Longer keys of parts are replaced by a digest in messages to peers and in the store.
MAX_PART_KEY_CHARS = 64


def content_id(req: FrontRequest) -> str:
    """Return the content id of a request, which is the same at any instance.

    Request ids and the addresses of callers change with each attempt. Method,
    host, target, body and prompt stay the same. The digest covers the repr of the
    prompt, so renaming its classes or fields would change the ids.
    """
    digest = blake2b(digest_size=CONTENT_ID_BYTES)
    for text in (req.head.method, req.host.encode(), req.head.target, req.body):
        digest.update(len(text).to_bytes(CONTENT_ID_BYTES, 'big'))
        digest.update(text)
    if req.prompt is not None:
        digest.update(repr(req.prompt).encode())
    return digest.hexdigest()


def shared_parts(prompt: Prompt | None) -> tuple[Part, ...]:
    """Return the parts of a prompt that other requests may share, with keys of bounded length."""
    if prompt is None:
        return ()
    return tuple(part._replace(key=_bounded_key(part.key)) for part in prompt.shared_parts if part.key)


def _bounded_key(key: str) -> str:
    if len(key) <= MAX_PART_KEY_CHARS:
        return key
    return blake2b(key.encode(), digest_size=CONTENT_ID_BYTES).hexdigest()


__all__ = ('content_id', 'shared_parts')
