"""An upstream's load, as it reports it."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamLoad(NamedTuple):
    """An upstream's own report; it trails reality.

    Parameters
    ----------
    role
        Role that is really loaded; empty for plain services.
    changing
        Whether a role change is under way.
    waiting_tokens, urgent_tokens
        Prompt tokens not yet prefilled, and those of them that are urgent.
    waiting
        Requests that these tokens belong to.
    running
        Answers being generated.
    prefill_rate
        Prompt tokens a second at the role's chunk size.
    token_s
        Seconds between two tokens of an answer, lately.
    slots
        Answers that can be generated at once.
    prefixes
        Shared heads of prompts that its cache holds, as far as it told.
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
