"""Estimators of the prefill speed and the token pauses of the engines of a service."""

from __future__ import annotations

import math
from typing import NamedTuple

# Seconds from sending a prompt to an idle engine to its first token, without the prefill.
INITIAL_OVERHEAD_S = 0.035
# The time of shorter prompts is mostly overhead, that of longer ones mostly prefill.
SHORT_TOKENS = 400
LONG_TOKENS = 1500
# Prefill takes some seconds for each token, and for each pair of a token and an earlier
# one. These are the initial estimates and their standard deviations.
INITIAL_TOKEN_S = 25e-6
TOKEN_SPREAD_S = 15e-6
INITIAL_PAIR_S = 0.2e-9
PAIR_SPREAD_S = 0.2e-9
# Drift of the speeds from one sample to the next, as a share of the standard deviations
# above: slow enough to average some tens of samples.
DRIFT_SHARE = 0.02
# Standard deviation of a prefill time around the model: seconds, and a share of the time.
NOISE_S = 0.01
NOISE_SHARE = 0.1
# A prefill that took longer may have waited for others, which the sample doesn't show;
# one that took less time proves the speed. Samples that are slower than the noise
# explains count as if their noise were this many times as large.
SLOW_NOISE_FACTOR = 5.0
# Gains for samples below and above the estimate: fast samples are followed quickly, slow
# ones slowly.
GAIN_FASTER = 0.3
GAIN_SLOWER = 0.05
# Initial estimate of the pause between two events of several tokens, in seconds.
INITIAL_PAUSE_S = 0.04
# Weight of pauses longer than the undisturbed one. It is small because in a burst nearly
# all pauses are disturbed, some hundred a second.
GAIN_LONG_PAUSE = 0.0005


class PrefillSpeed(NamedTuple):
    """How long engines take to prefill prompts.

    Parameters
    ----------
    overhead_s
        Seconds from sending a prompt to an idle engine to its first token, without
        the prefill.
    token_s
        Seconds for each token of the prefill.
    pair_s
        Seconds for each pair of a token of the prefill and an earlier one. This is the
        attention to earlier tokens, a fifth of the time of a long prefill.
    """

    overhead_s: float = INITIAL_OVERHEAD_S
    token_s: float = INITIAL_TOKEN_S
    pair_s: float = INITIAL_PAIR_S

    def prefill_s(self, fresh_tokens: int, prompt_tokens: int) -> float:
        """Return the seconds to prefill the last ``fresh_tokens`` of a prompt."""
        return fresh_tokens * self.token_s + _pairs(fresh_tokens, prompt_tokens) * self.pair_s


class PrefillSpeedMeter:
    """Estimator of the prefill speed, from prefills at idle engines.

    It is a Kalman filter over the two costs of prefill: the first samples move the
    initial estimates nearly all the way, later ones by less and less. With a fixed gain
    of 0.05 for slow samples, a restarted instance took some seconds to find that engines
    were half as fast as assumed, and sent them too much until then.
    """

    def __init__(self) -> None:
        """Start from the initial estimates."""
        self.speed = PrefillSpeed()
        self._token_var = TOKEN_SPREAD_S**2
        self._pair_var = PAIR_SPREAD_S**2
        self._covariance: float = 0

    @property
    def fastest(self) -> PrefillSpeed:
        """Return the speed if the engines are as fast as the times measured so far allow."""
        return self.speed._replace(token_s=max(self.speed.token_s - math.sqrt(self._token_var), 0))

    def observe(self, fresh_tokens: int, prompt_tokens: int, took_s: float) -> None:
        """Update the estimates by one prefill, with its time as at a prefill engine."""
        read_s = self.speed.prefill_s(fresh_tokens, prompt_tokens)
        surplus_s = took_s - self.speed.overhead_s - read_s
        if fresh_tokens <= SHORT_TOKENS:
            self._observe_overhead(took_s - read_s)
        elif fresh_tokens >= LONG_TOKENS:
            self._observe_prefill(fresh_tokens, _pairs(fresh_tokens, prompt_tokens), surplus_s)

    def _observe_overhead(self, overhead_s: float) -> None:
        gain = GAIN_FASTER if overhead_s < self.speed.overhead_s else GAIN_SLOWER
        updated_s = self.speed.overhead_s + gain * (max(overhead_s, 0) - self.speed.overhead_s)
        self.speed = self.speed._replace(overhead_s=updated_s)

    def _observe_prefill(self, tokens: int, pairs: float, surplus_s: float) -> None:
        self._token_var += (DRIFT_SHARE * TOKEN_SPREAD_S) ** 2
        self._pair_var += (DRIFT_SHARE * PAIR_SPREAD_S) ** 2
        token_covariance = self._token_var * tokens + self._covariance * pairs
        pair_covariance = self._covariance * tokens + self._pair_var * pairs
        predicted_var = tokens * token_covariance + pairs * pair_covariance
        noise_s = NOISE_S + NOISE_SHARE * (tokens * self.speed.token_s + pairs * self.speed.pair_s)
        if surplus_s > math.sqrt(predicted_var + noise_s**2):
            noise_s *= SLOW_NOISE_FACTOR
        inverse_var = 1 / (predicted_var + noise_s**2)
        self.speed = self.speed._replace(
            token_s=max(self.speed.token_s + token_covariance * inverse_var * surplus_s, 0),
            pair_s=max(self.speed.pair_s + pair_covariance * inverse_var * surplus_s, 0),
        )
        self._token_var -= inverse_var * token_covariance**2
        self._pair_var -= inverse_var * pair_covariance**2
        self._covariance -= inverse_var * token_covariance * pair_covariance


class PauseMeter:
    """Estimator of the pause between two events of a stream that no prefill disturbs."""

    def __init__(self) -> None:
        """Start from the initial estimate."""
        self.plain_s = INITIAL_PAUSE_S

    def observe(self, pause_s: float) -> None:
        """Update the estimate by one pause; long pauses were probably disturbed."""
        gain = GAIN_FASTER if pause_s < self.plain_s else GAIN_LONG_PAUSE
        self.plain_s += gain * (pause_s - self.plain_s)


def _pairs(fresh_tokens: int, prompt_tokens: int) -> float:
    return fresh_tokens * (prompt_tokens - fresh_tokens / 2)


__all__ = ('PauseMeter', 'PrefillSpeed', 'PrefillSpeedMeter')
