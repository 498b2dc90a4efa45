"""MessagePack codec for grpclib, which needs no generated code."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from grpclib.encoding.base import CodecBase

MessageT = TypeVar('MessageT')


class MessagePackCodec(CodecBase):
    """Encodes and decodes the typed messages of the links."""

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        """Create the encoder; decoders are created at the first use of a type."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[type, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of ``message``."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:  # noqa: WPS110
        """Return the message in ``data``."""
        if message_type not in self._decoders:
            self._decoders[message_type] = msgspec.msgpack.Decoder(message_type)
        return self._decoders[message_type].decode(data)


__all__ = ('MessagePackCodec',)
