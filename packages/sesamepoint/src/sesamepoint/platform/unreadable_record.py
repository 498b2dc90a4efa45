"""The error raised for an unreadable record in the platform's store."""

from __future__ import annotations

from sesamepoint_core.errors import SesamepointError


class UnreadableRecordError(SesamepointError):
    """A record in the platform's store is malformed."""


__all__ = ('UnreadableRecordError',)
