"""Decoding of documents from other processes, with one typed error for any document that cannot be used."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from sesamepoint_core.errors import SesamepointError

if TYPE_CHECKING:
    from collections.abc import Callable

DocumentType = TypeVar('DocumentType')

# Maximum nesting of lists and objects. The parsers recurse once for each level.
MAX_DEPTH = 64
# Most bytes of a document: those of the largest response that is read, see MAX_LIST_BYTES of http1/client.py.
MAX_DOCUMENT_BYTES = 8_388_608
# Characters of a cause in errors and logs; the parsers repeat names from the document.
MAX_CAUSE_CHARS = 200
BYTE_VALUES = 256
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?', re.DOTALL)
_NO_BRACKETS = bytes(set(range(BYTE_VALUES)) - set(b'[]{}'))
_OPENING = b'[{'


class UndecodableError(SesamepointError):
    """A document from another process can't be used, whatever its decoder says about it."""

    def __init__(self, cause: str) -> None:
        """Set the cause, which is cut to a bounded length."""
        super().__init__(cause[:MAX_CAUSE_CHARS], 'find out who wrote it')


def decode_json(document: bytes | msgspec.Raw, document_type: type[DocumentType]) -> DocumentType:
    """Decode a JSON document.

    Raises
    ------
    UndecodableError
        If it is too large, nested too deep, malformed, or not of the type.
    """
    raw = bytes(document)
    _check_size(raw)
    _check_depth(raw)
    decoded: DocumentType = _decoded(_json_decoder, raw, document_type)
    return decoded


def decode_msgpack(document: bytes, document_type: type[DocumentType]) -> DocumentType:
    """Decode a MessagePack document.

    Raises
    ------
    UndecodableError
        If it is too large, nested too deep, malformed, or not of the type.
    """
    _check_size(document)
    decoded: DocumentType = _decoded(_msgpack_decoder, document, document_type)
    return decoded


def _decoded(decoder_of: Callable[[Any], Any], document: bytes, document_type: Any) -> Any:
    try:
        return decoder_of(document_type).decode(document)
    except Exception as exc:
        # Not msgspec.DecodeError alone: deep nesting raises RecursionError, other input ValueError or OverflowError.
        # An error that the reader does not catch ends its task, and with it the reading of all other documents.
        raise UndecodableError(str(exc) or repr(exc)) from exc


def _check_size(document: bytes) -> None:
    if len(document) > MAX_DOCUMENT_BYTES:
        raise UndecodableError(f'it has {len(document)} bytes, {MAX_DOCUMENT_BYTES} are read')


def _check_depth(document: bytes) -> None:
    if document.count(b'[') + document.count(b'{') <= MAX_DEPTH:
        return
    depth = 0
    for bracket in _STRING.sub(b'', document).translate(None, _NO_BRACKETS):
        depth += 1 if bracket in _OPENING else -1
        if depth > MAX_DEPTH:
            raise UndecodableError(f'it is nested deeper than {MAX_DEPTH} levels')


@lru_cache(maxsize=None)
def _json_decoder(document_type: Any) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(document_type)


@lru_cache(maxsize=None)
def _msgpack_decoder(document_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(document_type)


__all__ = ('MAX_DEPTH', 'UndecodableError', 'decode_json', 'decode_msgpack')
