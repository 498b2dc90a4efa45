"""What an entry knows of a runner when it has to choose."""

from __future__ import annotations

from typing import NamedTuple


class Candidate(NamedTuple):
    """A runner that could take a request now.

    Parameters
    ----------
    runner
        Its name.
    role
        Role it reported; empty for plain services.
    same_zone
        Whether it stands in the entry's availability zone.
    waiting_tokens
        Prompt tokens ahead: reported, plus what the entry sent since.
    running
        Answers under way: reported, plus what the entry sent since.
    prefill_rate
        Prompt tokens a second, at least one.
    token_s
        Seconds between two tokens of one answer.
    cached_tokens
        Prompt tokens that its prefix cache is thought to hold.
    """

    runner: str
    role: str
    same_zone: bool
    waiting_tokens: float
    running: int
    prefill_rate: float
    token_s: float
    cached_tokens: int


class Need(NamedTuple):
    """What a request asks for.

    ``timeout_s`` is what is left until its deadline.
    """

    prompt_tokens: int
    output_tokens: int
    timeout_s: float
    urgent: bool


class Estimate(NamedTuple):
    """Seconds until the first token and until the whole answer."""

    first_token_s: float
    finish_s: float


class Choice(NamedTuple):
    """A runner, what it was thought to need, and who else was looked at."""

    runner: str
    estimate: Estimate
    alternatives: tuple[tuple[str, float], ...]


__all__ = ('Candidate', 'Choice', 'Estimate', 'Need')
