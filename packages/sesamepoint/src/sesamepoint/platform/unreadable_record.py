"""The error raised for an unreadable record in the platform's store."""

from __future__ import annotations

from sesamepoint_core.errors import SesamepointError


class UnreadableRecordError(SesamepointError):
    """A record in the platform's store is malformed."""


class InvalidConfigurationError(UnreadableRecordError):
    """A configuration contradicts itself or the operator's interface.

    Parameters
    ----------
    version
        Its version; 0 if it could not be read.
    """

    def __init__(self, cause: str, version: int = 0) -> None:
        """Set the cause, which names all that is wrong."""
        super().__init__(f'configuration: {cause}', 'the previous version stays in force')
        self.cause = cause
        self.version = version


__all__ = (
    'InvalidConfigurationError',
    'UnreadableRecordError',
)
