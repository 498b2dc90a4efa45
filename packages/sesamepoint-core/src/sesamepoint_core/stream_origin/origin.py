"""Origin of a stream: the service and software version whose runners may go on with it."""

from __future__ import annotations

import hashlib
from typing import Annotated, NamedTuple

import msgspec

# Longest version that is kept and exchanged as it is, in characters.
MAX_VERSION_CHARS = 64
_HASHED_PREFIX = 'sha256:'
BoundedVersion = Annotated[str, msgspec.Meta(max_length=len(_HASHED_PREFIX) + MAX_VERSION_CHARS)]
# Longest service name that is accepted from another process, in characters.
MAX_SERVICE_CHARS = 256
BoundedService = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_SERVICE_CHARS)]
# Size of a stream digest, in bytes: with a million streams in memory, the chance that any two
# of them collide is below one in ten million.
DIGEST_BYTES = 8


class StreamOrigin(NamedTuple):
    """What the runner of a stream's first event fixed for the rest of the stream.

    Two versions of a runner's software write events that don't fit together, so a
    stream may go on only at runners of its origin.

    Parameters
    ----------
    version
        None if nobody knows it: the runner did not register one, or was not known to be the registered
        incarnation. Such an origin is told to peers like any other, since to them a stream that nobody remembers
        began at the only version that they have seen.
    """

    service: BoundedService
    version: BoundedVersion | None

    @property
    def known(self) -> bool:
        """Tell whether a runner may go on with the stream at all."""
        return self.version is not None

    def allows(self, service: str, version: str | None) -> bool:
        """Tell whether a runner of ``service`` at ``version`` may go on; one of unknown version may not."""
        return self.known and service == self.service and version == self.version


def bounded_version(text: str) -> str:
    """Return a version of bounded length that equals another one only if the texts are equal.

    Letter case counts. An empty text is a version like any other.
    """
    if len(text) <= MAX_VERSION_CHARS:
        return text
    return _HASHED_PREFIX + hashlib.sha256(text.encode()).hexdigest()


def stream_digest(request_id: str) -> bytes:
    """Return the digest by which a stream is remembered: that of the id of the attempt that brought its first event.

    Ids are chosen by callers, so they may have any length.
    """
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()


__all__ = (
    'DIGEST_BYTES',
    'MAX_VERSION_CHARS',
    'BoundedService',
    'BoundedVersion',
    'StreamOrigin',
    'bounded_version',
    'stream_digest',
)
