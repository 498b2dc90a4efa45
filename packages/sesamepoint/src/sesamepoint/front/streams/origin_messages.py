"""Messages between instances about the origins of streams."""

from __future__ import annotations

from typing import Annotated

import msgspec

from sesamepoint_core.stream_origin.origin import DIGEST_BYTES, StreamOrigin

# Streams in one message: one, or two if the caller took the stream up, with the id of that attempt.
MAX_DIGESTS = 2
# Numbers of questions start again after this one; a question lasts less than a second.
MAX_LOOKUP_NUMBER = 1_000_000_000
# Age beyond which an origin is not accepted, in seconds.
MAX_AGE_S = 3600
# Empty in a question about a stream that its caller does not name.
Digest = Annotated[bytes, msgspec.Meta(max_length=DIGEST_BYTES)]
Digests = Annotated[tuple[Digest, ...], msgspec.Meta(max_length=MAX_DIGESTS)]
AgeS = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]
LookupNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_LOOKUP_NUMBER)]


class OriginMessage(msgspec.Struct, frozen=True, array_like=True, tag='origin'):
    """Origin of a stream whose first event the sender is about to pass on."""

    entry: str
    origin: StreamOrigin
    digests: Digests


class OriginQuestion(msgspec.Struct, frozen=True, array_like=True, tag='origin?'):
    """Question for the origin of a stream of ``service``; ``number`` is repeated in the answer."""

    entry: str
    number: LookupNumber
    digest: Digest
    service: str


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag='origin='):
    """Answer to a question.

    ``origin`` is None if the sender does not remember the stream. ``sole`` is the only
    origin that a stream of the service can have, as the sender sees it.
    """

    entry: str
    number: LookupNumber
    origin: StreamOrigin | None
    sole: StreamOrigin | None
    age_s: AgeS = 0


__all__ = ('MAX_LOOKUP_NUMBER', 'OriginMessage', 'OriginQuestion', 'OriginReply')
