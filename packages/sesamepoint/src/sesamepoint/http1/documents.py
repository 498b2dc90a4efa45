"""Encoded objects in the bodies of responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from sesamepoint_core.body_end.body_facts import BodyKind
from sesamepoint_core.body_end.decision import BrokenOff
from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint.http1.messages import ConnBrokenError

if TYPE_CHECKING:
    from sesamepoint.http1.messages import ReceivedBody

DocumentType = TypeVar('DocumentType')


def decode_document(body: ReceivedBody, document_type: type[DocumentType]) -> DocumentType:
    """Decode a JSON object.

    An object ends with a mark of its own, so one that decodes is whole, also where nothing but the
    end of the connection marks the end of the body.

    Raises
    ------
    ConnBrokenError
        If the body is broken off or does not decode.
    """
    try:
        return decode_json(whole_payload(body), document_type)
    except UndecodableError as exc:
        raise ConnBrokenError(str(exc), body.read_end) from exc


def whole_payload(body: ReceivedBody) -> bytes:
    """Return the payload of a document that is not known to be broken off.

    Raises
    ------
    ConnBrokenError
        If it is.
    """
    end = body.end(BodyKind.document)
    if isinstance(end, BrokenOff):
        raise ConnBrokenError(str(end), body.read_end)
    return body.payload


__all__ = ('decode_document', 'whole_payload')
