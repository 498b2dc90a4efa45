"""Measuring how fast the engines of a service read prompts."""

from __future__ import annotations

# Tokens a second until something was measured; engines of today read 36,000
# to 112,000 on one accelerator or two.
FIRST_GUESS = 60_000.0
# Shorter reads are mostly overhead and tell little of the rate.
MIN_TOKENS = 1000
# A read that took longer may have waited behind others, which the sample
# can't tell; one that took shorter proves the rate. So the estimate follows
# fast samples at once and slow ones with patience.
GAIN_UP = 0.3
GAIN_DOWN = 0.05
MIN_WORK_S = 0.001


class RateMeter:
    """An estimate in tokens a second, from single reads."""

    def __init__(self) -> None:
        """Start from the first guess."""
        self.tokens_s = FIRST_GUESS
        self._samples = 0

    def observe(self, fresh_tokens: int, work_s: float) -> None:
        """Learn from a read that found its engine idle."""
        if fresh_tokens < MIN_TOKENS:
            return
        found = fresh_tokens / max(work_s, MIN_WORK_S)
        gain = GAIN_UP if found > self.tokens_s else GAIN_DOWN
        self._samples += 1
        gain = max(gain, 1 / (self._samples + 1))
        self.tokens_s *= (found / self.tokens_s) ** gain


__all__ = ('RateMeter',)
