"""Percentiles, sliding window means and growth exponents."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


class NoValuesError(ValueError):
    """A percentile of an empty sequence was requested."""


@dataclass(frozen=True, slots=True)
class Summary:
    """Summary statistics of a set of values."""

    mean: float
    p50: float
    p99: float
    max: float
    count: int


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least the fraction ``share`` of all values do not exceed.

    Raises NoValuesError if there are no values.
    """
    if not values:
        raise NoValuesError("no values to take a percentile of")
    ordered = sorted(values)
    rank = math.ceil(share * len(ordered))
    return ordered[min(max(rank, 1), len(ordered)) - 1]


def summarize(values: Sequence[float]) -> Summary | None:
    """Return the summary of the values, or None if there are none."""
    if not values:
        return None
    return Summary(
        mean=sum(values) / len(values),
        p50=percentile(values, 0.5),
        p99=percentile(values, 0.99),
        max=max(values),
        count=len(values),
    )


def window_means(values: Sequence[float], length: int) -> list[float]:
    """Return the mean of each window of ``length`` consecutive values, or of all if there are fewer."""
    if not values:
        return []
    length = min(length, len(values))
    total = sum(values[:length])
    means = [total / length]
    for start in range(1, len(values) - length + 1):
        total += values[start + length - 1] - values[start - 1]
        means.append(total / length)
    return means


def growth_exponent(by_size: Mapping[int, float]) -> float | None:
    """Return the least-squares slope of log(value) over log(size): 0 is constant, 1 is linear growth.

    Returns None if fewer than two sizes have a positive value.
    """
    points = [(math.log(size), math.log(value)) for size, value in by_size.items() if size > 0 and value > 0]
    if len(points) < 2:
        return None
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    if variance == 0:
        return None
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / variance
