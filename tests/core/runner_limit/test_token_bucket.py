"""The token bucket against a model that keeps each permit by itself, and at rates that no runner means."""

from __future__ import annotations

import math
import time
from collections import deque
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepoint_core.runner_limit.token_bucket import TokenBucket

# Exact as floats, so that the model and the bucket agree on each boundary.
TICK_S = 1 / 64
RATES = (0, 0.25, 0.5, 1, 2, 8, 64, 1024)
AGES_S = (0, 0.5, 2, 4, 16)
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('wait'), st.integers(0, 300)),
        st.tuples(st.just('take'), st.integers(1, 5)),
        st.tuples(st.just('put back'), st.integers(1, 3)),
        st.tuples(st.sampled_from(RATES), st.sampled_from(AGES_S)),
    ),
    max_size=60,
)
HUGE_RATES = (1e6, 1e7, 1e9, 1e18, 1e300)


class _SinglePermits:
    """The bucket as it was: a list of the times at which permits were issued."""

    def __init__(self) -> None:
        self.fraction = 0.5
        self.advanced_at: float = 0
        self.rate: float = 0
        self.max_age_s: float = 0
        self.issued_at: deque[float] = deque()

    def update_rate(self, rate: float, max_age_s: float, now: float) -> None:
        self.available(now)
        self.rate = rate
        self.max_age_s = max_age_s
        while len(self.issued_at) > max(1, rate * max_age_s):
            self.issued_at.popleft()
        if not rate:
            self.issued_at.clear()

    def available(self, now: float) -> int:
        begin = max(self.advanced_at, now - self.max_age_s)
        issued = self.fraction + self.rate * (now - begin)
        for number in range(1, math.floor(issued) + 1):
            self.issued_at.append(begin + (number - self.fraction) / self.rate)
        self.fraction = issued - math.floor(issued)
        self.advanced_at = now
        while self.issued_at and self.issued_at[0] < now - self.max_age_s:
            self.issued_at.popleft()
        return len(self.issued_at)

    def put_back(self, now: float) -> None:
        if len(self.issued_at) < max(1, self.rate * self.max_age_s):
            self.issued_at.append(now)


class _Both:
    """The bucket and the model, with the same course."""

    def __init__(self) -> None:
        self.bucket = TokenBucket(0.5)
        self.model = _SinglePermits()
        self.now: float = 0

    def play(self, step: object, argument: float) -> None:
        """Play a step; a number is a rate, with the greatest age of permits."""
        if isinstance(step, int | float):
            for one in (self.bucket, self.model):
                one.update_rate(step, argument, self.now)
        elif step == 'wait':
            self.now += argument * TICK_S
        else:
            play = self._take if step == 'take' else self._put_back
            play(int(argument))

    def _take(self, permits: int) -> None:
        for _ in range(min(permits, self.model.available(self.now), self.bucket.available(self.now))):
            self.bucket.take()
            self.model.issued_at.popleft()

    def _put_back(self, permits: int) -> None:
        for _ in range(permits):
            self.bucket.put_back(self.now)
            self.model.put_back(self.now)


class TokenBucketTest(TestCase):
    """Permits are the same as if each were kept by itself, at a cost that does not depend on the rate."""

    @given(_STEPS)
    @settings(derandomize=True, max_examples=400)
    def test_same_as_single_permits(self, steps: list[tuple[object, float]]) -> None:
        """Guards against permits that are issued, kept or expire otherwise than one by one."""
        both = _Both()
        for step, argument in steps:
            both.play(step, argument)
            counts = both.bucket.available(both.now), both.model.available(both.now)
            self.assertEqual(counts[0], counts[1], (step, argument, both.now))

    def test_cost_of_huge_rates(self) -> None:
        """Guards against an instance that stands still, and grows, since a runner names millions a second."""
        for rate in HUGE_RATES:
            began = time.process_time()
            bucket = TokenBucket(0.5)
            for step in range(200):
                bucket.update_rate(rate, 0.5, step * 0.1)
                for _ in range(min(bucket.available(step * 0.1 + 0.05), 10)):
                    bucket.take()
                self.assertLess(len(bucket._runs), 20, rate)
            self.assertLess(time.process_time() - began, 1.0, rate)
