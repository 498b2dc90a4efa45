"""Input and output of a routing choice: candidates, the request, estimates."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sesamepoint_core.route.load import UpstreamLoad


class Candidate(NamedTuple):
    """A runner that is eligible for a request.

    Parameters
    ----------
    runner
        Name of the runner.
    same_zone
        Whether it is in the availability zone of this instance.
    load
        Load that it reported, plus what this instance has sent since.
    time_correction
        Recent ratio of observed to expected times for this class of requests.
    """

    runner: str
    same_zone: bool
    load: UpstreamLoad
    time_correction: float = 1


class RequestSpec(NamedTuple):
    """Properties of a request that matter for routing.

    Parameters
    ----------
    prompt_tokens
        Length of the prompt, in tokens.
    output_tokens
        Maximum length of the answer, in tokens.
    timeout_s
        Seconds left until the deadline.
    urgent
        Whether it belongs to the main job.
    prefix
        Name of the prefix block of the prompt that other requests may share;
        empty if there is none.
    prefix_tokens
        Length of that prefix, in tokens.
    """

    prompt_tokens: int
    output_tokens: int
    timeout_s: float
    urgent: bool
    prefix: str = ''
    prefix_tokens: int = 0


class Estimate(NamedTuple):
    """Expected times of a request at one runner, in seconds from now.

    Parameters
    ----------
    first_token_s
        Time to the first token.
    finish_s
        Time to the end of the answer.
    delay_s
        Delay that it adds to the other answers at the runner, summed up.
    """

    first_token_s: float
    finish_s: float
    delay_s: float


class Choice(NamedTuple):
    """The chosen runner, its estimate, and the other runners with their scores."""

    runner: str
    estimate: Estimate
    alternatives: tuple[tuple[str, float], ...]


__all__ = ('Candidate', 'Choice', 'Estimate', 'RequestSpec')
