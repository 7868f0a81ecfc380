"""Valid and invalid timing parameters of the election."""

from __future__ import annotations

import math

import pytest

from saltcourse.address_failover.errors import InvalidTimingError
from saltcourse.address_failover.timing import ElectionTiming


def test_a_lease_ends_before_the_promise_even_if_the_clocks_drift_in_opposite_directions() -> None:
    timing = ElectionTiming(clock_drift=0.01)
    fast, slow = 1.01, 0.99  # rates of the voter's and the holder's clock
    assert timing.holder_lease / slow < timing.lease_duration / fast


@pytest.mark.parametrize(
    ("field", "value", "expected"),
    [
        ("lease_duration", 0.0, "above 0"),
        ("renewal_interval", math.nan, "above 0"),
        ("retry_interval", -1.0, "above 0"),
        ("candidacy_timeout", math.inf, "above 0"),
        ("start_jitter", 0.0, "above 0"),
        ("safety_margin", -0.1, "0 or more"),
        ("priority_delay", -0.1, "0 or more"),
        ("clock_drift", 0.1, "under 0.1"),
        ("renewal_interval", 0.3, "under half"),
    ],
)
def test_the_error_names_the_invalid_field_and_its_range(field: str, value: float, expected: str) -> None:
    with pytest.raises(
        InvalidTimingError, match=rf"^{field}: expected .*{expected}.*, got {value}$"
    ) as caught:
        ElectionTiming(**{field: value})
    assert caught.value.field == field
