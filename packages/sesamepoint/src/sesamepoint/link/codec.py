"""MessagePack codec for grpclib, which needs no generated code."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from grpclib.encoding.base import CodecBase

from sesamepoint_core.decoding import decode_msgpack

MessageT = TypeVar('MessageT')


class MessagePackCodec(CodecBase):
    """Encodes and decodes the typed messages of the links."""

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        """Create the encoder."""
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of ``message``."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:  # noqa: WPS110
        """Return the message in ``data``."""
        return decode_msgpack(data, message_type)


__all__ = ('MessagePackCodec',)
