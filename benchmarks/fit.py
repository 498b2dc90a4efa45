"""Linear regression over measured points."""

from __future__ import annotations

import gc
import time
from statistics import correlation, linear_regression, median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

REPEATS_PER_SIZE = 3


class Point(NamedTuple):
    """A size and the median of the measurements at it."""

    size: int
    measured: float


class LineFit(NamedTuple):
    """A fitted line with its points and the squared correlation."""

    name: str
    unit: str
    slope: float
    intercept: float
    r_squared: float
    points: tuple[Point, ...]

    def predict(self, size: float) -> float:
        """Return the fitted measurement at a size."""
        return self.intercept + self.slope * size

    def __str__(self) -> str:
        """Format the line and its points as one row of text."""
        points = ' '.join(f'{point.size}:{point.measured:.4g}' for point in self.points)
        line = f'slope {self.slope:.4g} {self.unit}, intercept {self.intercept:.4g}, r2 {self.r_squared:.3f}'
        return f'{self.name:44} {line} [{points}]'


def fit_line(name: str, unit: str, sizes: Sequence[int], measure: Callable[[int], float]) -> LineFit:
    """Measure several times at each size and fit a line through the medians."""
    points = tuple(Point(size, median(measure(size) for _ in range(REPEATS_PER_SIZE))) for size in sizes)
    xs = [float(point.size) for point in points]
    ys = [point.measured for point in points]
    slope, intercept = linear_regression(xs, ys)
    fit = 1 if len(set(ys)) == 1 else correlation(xs, ys) ** 2
    return LineFit(name, unit, slope, intercept, fit, points)


def cpu_time_s(work: Callable[[], object]) -> float:
    """Return the CPU seconds that a call of ``work`` takes, after a garbage collection."""
    gc.collect()
    started = time.process_time()
    work()
    return time.process_time() - started


__all__ = ('LineFit', 'Point', 'cpu_time_s', 'fit_line')
