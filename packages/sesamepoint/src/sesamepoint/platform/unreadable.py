"""The error of records in the platform's store that can't be used."""

from __future__ import annotations

from sesamepoint_core.errors import SesamepointError


class UnreadableRecordError(SesamepointError):
    """A record in the platform's store that does not decode."""


__all__ = ('UnreadableRecordError',)
