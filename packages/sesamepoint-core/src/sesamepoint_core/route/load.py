"""Load that an upstream reports."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamLoad(NamedTuple):
    """Load report of an upstream; the real load may have changed since.

    Parameters
    ----------
    role
        Role that the upstream actually runs in; empty for plain services.
    changing
        Whether a role change is in progress.
    waiting_tokens, urgent_tokens
        Prompt tokens not yet prefilled, and how many of them are of urgent requests.
    waiting
        Number of requests that these tokens belong to.
    running
        Number of answers being generated.
    prefill_rate
        Prompt tokens per second at the role's chunk size.
    token_s
        Recent time between two tokens of an answer, in seconds.
    slots
        Number of answers that can be generated at once.
    prefixes
        Names of shared prompt prefixes that it reported to be in its cache.
    """

    role: str
    changing: bool
    waiting_tokens: int
    urgent_tokens: int
    waiting: int
    running: int
    prefill_rate: float
    token_s: float
    slots: int
    prefixes: tuple[str, ...] = ()


NO_LOAD = UpstreamLoad(
    role='',
    changing=False,
    waiting_tokens=0,
    urgent_tokens=0,
    waiting=0,
    running=0,
    prefill_rate=0,
    token_s=0,
    slots=0,
)

__all__ = ('NO_LOAD', 'UpstreamLoad')
