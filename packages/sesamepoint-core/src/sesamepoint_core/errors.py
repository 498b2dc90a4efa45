"""Exceptions of sesamepoint; each message says what is wrong and what to do about it."""

from __future__ import annotations


class SesamepointError(Exception):
    """Base of all exceptions that sesamepoint raises itself.

    Parameters
    ----------
    problem
        What is wrong.
    remedy
        What to do about it.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        """Build the message from both parts."""
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


class UnknownNameError(SesamepointError):
    """A name that isn't registered."""

    def __init__(self, kind: str, name: str, known: tuple[str, ...]) -> None:
        """List the registered names in the message."""
        super().__init__(f'no {kind} is called {name!r}', f'use one of: {", ".join(known)}')


class HistoryLostError(SesamepointError):
    """The control log no longer holds records that a process needs to restore its state."""

    def __init__(self, wanted: int, earliest: int) -> None:
        """Name the missing offset and the first one that is left."""
        super().__init__(
            f'the control log starts at offset {earliest}, offset {wanted} is needed and no snapshot covers it',
            'start one process that still holds the state, or publish to a new log stream',
        )


class PlatformUnavailableError(SesamepointError):
    """A service of the platform did not answer."""

    def __init__(self, service: str, cause: str) -> None:
        """Name the service and the cause."""
        super().__init__(f'the {service} did not answer ({cause})', 'the call is repeated with back-off')


class LinkLostError(SesamepointError):
    """A connection to another process of the system failed."""

    def __init__(self, address: str, cause: str) -> None:
        """Name the remote address and the cause."""
        super().__init__(f'the connection to {address} failed ({cause})', 'a new connection is tried')


class UpstreamError(SesamepointError):
    """An upstream closed the connection or refused a request."""

    def __init__(self, cause: str) -> None:
        """Name the cause."""
        super().__init__(f'the upstream failed ({cause})', 'check the upstream and its agent')


__all__ = (
    'HistoryLostError',
    'LinkLostError',
    'PlatformUnavailableError',
    'SesamepointError',
    'UnknownNameError',
    'UpstreamError',
)
