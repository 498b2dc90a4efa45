"""Typed errors; every message names the remedy."""

from __future__ import annotations


class SesamepointError(Exception):
    """Base of all errors that sesamepoint raises on purpose.

    Parameters
    ----------
    found
        What is wrong.
    remedy
        What the reader of the message can do about it.
    """

    def __init__(self, found: str, remedy: str) -> None:
        """Keep both halves of the message."""
        super().__init__(f'{found}; {remedy}')
        self.found = found
        self.remedy = remedy


class UnknownNameError(SesamepointError):
    """A name that no registry entry has."""

    def __init__(self, kind: str, name: str, known: tuple[str, ...]) -> None:
        """Tell the names that would have done."""
        super().__init__(f'no {kind} is called {name!r}', f'use one of: {", ".join(known)}')


class HistoryLostError(SesamepointError):
    """The log no longer holds what a process needs to know the present."""

    def __init__(self, wanted: int, earliest: int) -> None:
        """Tell the hole in the log."""
        super().__init__(
            f'the control log starts at offset {earliest}, offset {wanted} is needed and no snapshot covers it',
            'start one process that still holds the state, or publish to a new log stream',
        )


class PlatformUnavailableError(SesamepointError):
    """A service of the platform did not answer."""

    def __init__(self, service: str, cause: str) -> None:
        """Tell which service and how it failed."""
        super().__init__(f'the {service} did not answer ({cause})', 'the call is repeated with back-off')


class LinkLostError(SesamepointError):
    """A connection to another process of the system gave no sign of life."""

    def __init__(self, address: str, cause: str) -> None:
        """Tell the far end and the sign that was missed."""
        super().__init__(f'no sign of life from {address} ({cause})', 'a new connection is tried')


class UpstreamError(SesamepointError):
    """An upstream broke off or refused."""

    def __init__(self, cause: str) -> None:
        """Tell what the upstream did."""
        super().__init__(f'the upstream failed ({cause})', 'look at the upstream and its agent')


__all__ = (
    'HistoryLostError',
    'LinkLostError',
    'PlatformUnavailableError',
    'SesamepointError',
    'UnknownNameError',
    'UpstreamError',
)
