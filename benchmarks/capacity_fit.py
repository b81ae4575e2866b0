"""A straight line through measured points, with what is known of its error.

    line = fit(sizes, values)                # ordinary least squares; `power=True`: of logarithms
    line.slope, line.slope_error             # half the 95% interval of the slope, by Student's t
    line.at(18_000), line.band(18_000)       # the mean there, and its 95% interval
    line.foresees(18_000)                    # the 95% interval of one more play there
    line.crossing(32.0)                      # where the mean meets a limit: least, middle, most

Formulas as in Draper and Smith, Applied Regression Analysis (1998), 1.4 and 3.1. A crossing's interval is
where the band of the mean meets the limit. With `power` a value is scale x size^exponent, and the exponent is
`slope`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import cache

import numpy as np
from scipy import stats

Limit = float | Callable[[float], float]
LEVEL = 0.95
FURTHEST = 1e7  # a crossing beyond this size is none
SIZES_LEAST = 3  # that a line is fitted to, beside the one that is left out


@cache
def student(freedom: int) -> float:
    """Student's t for intervals of `LEVEL` at so many degrees of freedom."""
    return float(stats.t.ppf(0.5 + LEVEL / 2, freedom))


@dataclass(frozen=True)
class Line:
    """A fitted line; sizes and values as they were given."""

    intercept: float
    slope: float
    scatter: float
    """Standard deviation of the points about the line, of logarithms where `power`."""
    count: int
    mean: float
    spread: float
    """Sum of squares of the sizes about their mean."""
    power: bool = False

    @property
    def _t(self) -> float:
        return student(self.count - 2)

    @property
    def slope_error(self) -> float:
        """Half the 95% interval of the slope."""
        return self._t * self.scatter / math.sqrt(self.spread)

    def _x(self, size: float) -> float:
        return math.log(size) if self.power else size

    def _y(self, value: float) -> float:
        return math.exp(value) if self.power else value

    def at(self, size: float) -> float:
        """The mean at a size."""
        return self._y(self.intercept + self.slope * self._x(size))

    def _interval(self, size: float, one: float) -> tuple[float, float]:
        x = self._x(size)
        half = self._t * self.scatter * math.sqrt(one + 1 / self.count + (x - self.mean) ** 2 / self.spread)
        middle = self.intercept + self.slope * x
        return self._y(middle - half), self._y(middle + half)

    def band(self, size: float) -> tuple[float, float]:
        """The 95% interval of the mean at a size."""
        return self._interval(size, 0.0)

    def foresees(self, size: float) -> tuple[float, float]:
        """The 95% interval of one more play at a size."""
        return self._interval(size, 1.0)

    def crossing(self, limit: Limit) -> tuple[float, float, float] | None:
        """The sizes at which the mean's upper bound, the mean and its lower bound meet a limit.

        The limit may itself be one by size.

        None if the mean does not rise to it; inf for a lower bound that does not, 0 for one over it at once.
        """
        middle = _meets(self.at, limit)
        if not 0 < middle < math.inf:
            return None if middle else (0.0, 0.0, _meets(lambda size: self.band(size)[0], limit))
        return (
            _meets(lambda size: self.band(size)[1], limit),
            middle,
            _meets(lambda size: self.band(size)[0], limit),
        )


def _meets(value: Callable[[float], float], limit: Limit) -> float:
    """The least size from 1 on at which a value is at the limit, by steps of 1% and halving."""

    def is_under(size: float) -> bool:
        return value(size) < (limit(size) if callable(limit) else limit)

    low = high = 1.0
    if not is_under(1.0):
        return 0.0
    while is_under(high):
        low, high = high, high * 1.01
        if high > FURTHEST:
            return math.inf
    for _ in range(50):
        middle = (low + high) / 2
        low, high = (middle, high) if is_under(middle) else (low, middle)
    return high


def fit(sizes: Sequence[float], values: Sequence[float], power: bool = False) -> Line:
    """Ordinary least squares; ValueError for fewer than three points, or one size alone."""
    x, y = np.asarray(sizes, dtype=float), np.asarray(values, dtype=float)
    if len(x) < 3 or len(x) != len(y) or np.ptp(x) == 0:
        raise ValueError(f"{len(x)} points at {len(set(sizes))} sizes give no line")
    if power:
        x, y = np.log(x), np.log(y)
    mean = float(x.mean())
    spread = float(((x - mean) ** 2).sum())
    slope = float(((x - mean) * (y - y.mean())).sum()) / spread
    intercept = float(y.mean()) - slope * mean
    rest = float(((y - intercept - slope * x) ** 2).sum())
    return Line(intercept, slope, math.sqrt(rest / (len(x) - 2)), len(x), mean, spread, power)


@dataclass(frozen=True)
class Slope:
    """A line through all sizes but the largest, and what the largest was beside what the line foresaw."""

    line: Line
    largest: float
    measured: float
    """Mean of the plays at the largest size."""
    plays: int

    @property
    def foreseen(self) -> bool:
        """Whether the mean at the largest size lies where one play was foreseen."""
        low, high = self.line.foresees(self.largest)
        return low <= self.measured <= high


def leave_out(sizes: Sequence[float], values: Sequence[float], power: bool = False) -> Slope:
    """Fit all sizes but the largest, which is predicted; ValueError for fewer than four sizes."""
    if len(set(sizes)) < SIZES_LEAST + 1:
        raise ValueError(f"{len(set(sizes))} sizes: {SIZES_LEAST + 1} are needed")
    largest = max(sizes)
    inner = [(s, v) for s, v in zip(sizes, values, strict=True) if s < largest]
    outer = [v for s, v in zip(sizes, values, strict=True) if s == largest]
    line = fit([s for s, _ in inner], [v for _, v in inner], power)
    return Slope(line, largest, sum(outer) / len(outer), len(outer))
