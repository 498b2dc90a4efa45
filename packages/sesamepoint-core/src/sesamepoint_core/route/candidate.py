"""What an entry knows of a runner when it has to choose."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sesamepoint_core.route.load import UpstreamLoad


class Candidate(NamedTuple):
    """A runner that could take a request now.

    Parameters
    ----------
    runner
        Its name.
    same_zone
        Whether it stands in the entry's availability zone.
    load
        What it reported, plus what the entry sent since.
    pace
        Observed over expected times, lately, for this class of work.
    """

    runner: str
    same_zone: bool
    load: UpstreamLoad
    pace: float = 1


class Need(NamedTuple):
    """What a request asks for.

    ``timeout_s`` is what is left until its deadline; ``prefix`` names the
    head of its prompt that others may share.
    """

    prompt_tokens: int
    output_tokens: int
    timeout_s: float
    urgent: bool
    prefix: str = ''
    prefix_tokens: int = 0


class Estimate(NamedTuple):
    """What a request would cost at a runner, in seconds.

    ``delay_s`` is what it would add to the answers of others.
    """

    first_token_s: float
    finish_s: float
    delay_s: float


class Choice(NamedTuple):
    """A runner, what it was thought to need, and who else was looked at."""

    runner: str
    estimate: Estimate
    alternatives: tuple[tuple[str, float], ...]


__all__ = ('Candidate', 'Choice', 'Estimate', 'Need')
