"""Percentiles, growth exponents and sliding windows."""

from __future__ import annotations

import pytest

from saltcourse.emulator.scale.summary import growth_exponent, percentile, window_means


def test_percentile_is_the_nearest_rank() -> None:
    values = [float(number) for number in range(1, 101)]
    assert (percentile(values, 0.5), percentile(values, 0.99), percentile(values, 1.0)) == (50.0, 99.0, 100.0)
    assert percentile([7.0], 0.5) == 7.0
    with pytest.raises(ValueError):
        percentile([], 0.5)


def test_growth_exponent_is_the_slope_on_logarithmic_axes() -> None:
    assert growth_exponent({30: 7.0, 60: 7.0, 120: 7.0}) == pytest.approx(0.0)
    assert growth_exponent({30: 30.0, 60: 60.0, 120: 120.0}) == pytest.approx(1.0)
    assert growth_exponent({10: 100.0, 100: 10_000.0}) == pytest.approx(2.0)
    assert growth_exponent({30: 7.0}) is None and growth_exponent({30: 7.0, 60: 0.0}) is None


def test_window_means_are_those_of_all_sliding_windows() -> None:
    assert window_means([0.0, 0.0, 9.0, 0.0], 3) == [3.0, 3.0]
    assert window_means([2.0, 4.0], 10) == [3.0]
    assert window_means([], 10) == []
