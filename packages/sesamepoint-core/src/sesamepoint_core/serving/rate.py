"""Measuring how fast the engines of a service are."""

from __future__ import annotations

import math
from typing import NamedTuple

# Seconds from sending a prompt to an idle engine to its first word, without
# the reading itself.
FIRST_OVERHEAD_S = 0.035
# Shorter prompts are mostly overhead, longer ones mostly reading.
SHORT_TOKENS = 400
LONG_TOKENS = 1500
# Reading costs seconds a token, and seconds a pair of a token and one before
# it: what is believed until the first samples, and how far off that may be.
FIRST_TOKEN_S = 25e-6
TOKEN_SPREAD_S = 15e-6
FIRST_PAIR_S = 0.2e-9
PAIR_SPREAD_S = 0.2e-9
# How far speeds may drift from one sample to the next, as a share of the
# spreads above: slow enough to average some tens of samples.
DRIFT = 0.02
# A read of known length takes about so much more or less than the model says:
# seconds, and a share of the time.
NOISE_S = 0.01
NOISE_SHARE = 0.1
# A read that took longer may have waited behind others, which the sample
# can't tell; one that took shorter proves the speed. Samples that are slower
# than the noise explains count as if they were this many times as noisy.
SLOW_NOISE = 5.0
# The overhead follows fast samples soon and slow ones with patience.
GAIN_FASTER = 0.3
GAIN_SLOWER = 0.05
# Seconds between two events of several tokens, until some were seen.
FIRST_PAUSE_S = 0.04
# Weight of pauses longer than the plain one. Small, for in a burst nearly all
# are disturbed, some hundred a second.
GAIN_LONG_PAUSE = 0.0005


class ReadSpeed(NamedTuple):
    """How long engines take to read prompts.

    Parameters
    ----------
    overhead_s
        From sending a prompt to an idle engine to its first word, without
        the reading.
    token_s
        Seconds for each token that is read.
    pair_s
        Seconds for each pair of a token that is read and one before it:
        attention to what is there already, a fifth of a long read.
    """

    overhead_s: float = FIRST_OVERHEAD_S
    token_s: float = FIRST_TOKEN_S
    pair_s: float = FIRST_PAIR_S

    def read_s(self, fresh_tokens: int, prompt_tokens: int) -> float:
        """Return the seconds to read the last ``fresh_tokens`` of a prompt."""
        return fresh_tokens * self.token_s + _pairs(fresh_tokens, prompt_tokens) * self.pair_s


class SpeedMeter:
    """The speed of reading prompts, from reads at idle engines.

    A Kalman filter over the two costs of reading: the first samples move the
    guesses nearly all the way, later ones by less and less. (A fixed gain of
    0.05 for slow samples took a restarted entry some seconds to find that
    engines read half as fast as guessed; until then it sent them too much.)
    """

    def __init__(self) -> None:
        """Start from the first guesses."""
        self.speed = ReadSpeed()
        self._token_var = TOKEN_SPREAD_S**2
        self._pair_var = PAIR_SPREAD_S**2
        self._covariance: float = 0

    def observe(self, fresh_tokens: int, prompt_tokens: int, took_s: float) -> None:
        """Learn from one read, as at an engine that only prefills."""
        read_s = self.speed.read_s(fresh_tokens, prompt_tokens)
        surplus_s = took_s - self.speed.overhead_s - read_s
        if fresh_tokens <= SHORT_TOKENS:
            self._observe_overhead(took_s - read_s)
        elif fresh_tokens >= LONG_TOKENS:
            self._observe_read(fresh_tokens, _pairs(fresh_tokens, prompt_tokens), surplus_s)

    def _observe_overhead(self, overhead_s: float) -> None:
        gain = GAIN_FASTER if overhead_s < self.speed.overhead_s else GAIN_SLOWER
        found = self.speed.overhead_s + gain * (max(overhead_s, 0) - self.speed.overhead_s)
        self.speed = self.speed._replace(overhead_s=found)

    def _observe_read(self, tokens: int, pairs: float, surplus_s: float) -> None:
        self._token_var += (DRIFT * TOKEN_SPREAD_S) ** 2
        self._pair_var += (DRIFT * PAIR_SPREAD_S) ** 2
        token_lever = self._token_var * tokens + self._covariance * pairs
        pair_lever = self._covariance * tokens + self._pair_var * pairs
        known_var = tokens * token_lever + pairs * pair_lever
        noise_s = NOISE_S + NOISE_SHARE * (tokens * self.speed.token_s + pairs * self.speed.pair_s)
        if surplus_s > math.sqrt(known_var + noise_s**2):
            noise_s *= SLOW_NOISE
        scale = 1 / (known_var + noise_s**2)
        self.speed = self.speed._replace(
            token_s=max(self.speed.token_s + token_lever * scale * surplus_s, 0),
            pair_s=max(self.speed.pair_s + pair_lever * scale * surplus_s, 0),
        )
        self._token_var -= scale * token_lever**2
        self._pair_var -= scale * pair_lever**2
        self._covariance -= scale * token_lever * pair_lever


class PauseMeter:
    """The pause between two events of a stream that nothing disturbs."""

    def __init__(self) -> None:
        """Start from the first guess."""
        self.plain_s = FIRST_PAUSE_S

    def observe(self, pause_s: float) -> None:
        """Learn from one pause; long ones were disturbed."""
        gain = GAIN_FASTER if pause_s < self.plain_s else GAIN_LONG_PAUSE
        self.plain_s += gain * (pause_s - self.plain_s)


def _pairs(fresh_tokens: int, prompt_tokens: int) -> float:
    return fresh_tokens * (prompt_tokens - fresh_tokens / 2)


__all__ = ('PauseMeter', 'ReadSpeed', 'SpeedMeter')
