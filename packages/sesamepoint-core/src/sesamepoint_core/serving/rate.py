"""Measuring how fast the engines of a service are."""

from __future__ import annotations

# Tokens a second until something was measured; engines of today read 36,000
# to 112,000 on one accelerator or two.
FIRST_RATE = 60_000.0
# Seconds from sending a prompt to an idle engine to its first word, without
# the reading itself; measured at 36 ms on engines of today.
FIRST_OVERHEAD_S = 0.035
# Shorter prompts are mostly overhead, longer ones mostly reading.
SHORT_TOKENS = 400
LONG_TOKENS = 3000
# A read that took longer may have waited behind others, which the sample
# can't tell; one that took shorter proves the speed. So the estimates follow
# fast samples soon and slow ones with patience.
GAIN_FASTER = 0.3
GAIN_SLOWER = 0.05
MIN_WORK_S = 0.001
# Seconds between two events of several tokens, until some were seen.
FIRST_PAUSE_S = 0.04
# Weight of pauses longer than the plain one. Small, for in a burst nearly all
# are disturbed, some hundred a second.
GAIN_LONG_PAUSE = 0.0005


class SpeedMeter:
    """Rate and overhead of reading prompts, from reads at idle engines."""

    def __init__(self) -> None:
        """Start from the first guesses."""
        self.tokens_s = FIRST_RATE
        self.overhead_s = FIRST_OVERHEAD_S

    def observe(self, fresh_tokens: int, took_s: float) -> None:
        """Learn from one read, as at an engine that only prefills."""
        if fresh_tokens <= SHORT_TOKENS:
            self._observe_short(took_s - fresh_tokens / self.tokens_s)
        elif fresh_tokens >= LONG_TOKENS:
            self._observe_long(fresh_tokens / max(took_s - self.overhead_s, MIN_WORK_S))

    def _observe_short(self, overhead_s: float) -> None:
        gain = GAIN_FASTER if overhead_s < self.overhead_s else GAIN_SLOWER
        self.overhead_s += gain * (max(overhead_s, 0) - self.overhead_s)

    def _observe_long(self, tokens_s: float) -> None:
        gain = GAIN_FASTER if tokens_s > self.tokens_s else GAIN_SLOWER
        self.tokens_s *= (tokens_s / self.tokens_s) ** gain


class PauseMeter:
    """The pause between two events of a stream that nothing disturbs."""

    def __init__(self) -> None:
        """Start from the first guess."""
        self.plain_s = FIRST_PAUSE_S

    def observe(self, pause_s: float) -> None:
        """Learn from one pause; long ones were disturbed."""
        gain = GAIN_FASTER if pause_s < self.plain_s else GAIN_LONG_PAUSE
        self.plain_s += gain * (pause_s - self.plain_s)


__all__ = ('PauseMeter', 'SpeedMeter')
