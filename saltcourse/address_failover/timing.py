"""Timing parameters of the election."""

from __future__ import annotations

import math
from dataclasses import dataclass

from saltcourse.address_failover.errors import InvalidTimingError


@dataclass(frozen=True, slots=True)
class ElectionTiming:
    """Timing of the election, identical for all members. Times are seconds, ``clock_drift`` is a ratio.

    Raises InvalidTimingError, which names the field, if a value is out of range.
    """

    lease_duration: float = 0.6  # duration of a voter's promise on its own clock
    renewal_interval: float = 0.12  # time between a holder's renewals
    clock_drift: float = 0.01  # maximum deviation of each clock's rate from true time
    safety_margin: float = 0.03  # time reserved for withdrawing the address before the lease ends
    # These are not in the operator's file; they do not depend on the lease.
    retry_interval: float = 0.06  # time between repeats of an unanswered vote request
    candidacy_timeout: float = 0.25  # time after which a round of vote requests is abandoned
    start_jitter: float = 0.05  # members of equal priority start their candidacies randomly within this time
    priority_delay: float = 0.08  # start delay per level below the highest priority; exceeds start_jitter

    def __post_init__(self) -> None:
        """Raise InvalidTimingError if a field is out of range."""
        for field in (
            "lease_duration",
            "renewal_interval",
            "retry_interval",
            "candidacy_timeout",
            "start_jitter",
        ):
            value = getattr(self, field)
            _require(math.isfinite(value) and value > 0, field, "a time above 0", value)
        for field in ("safety_margin", "priority_delay"):
            value = getattr(self, field)
            _require(math.isfinite(value) and value >= 0, field, "0 or more", value)
        _require(0 <= self.clock_drift < 0.1, "clock_drift", "from 0 to under 0.1", self.clock_drift)
        _require(
            self.holder_lease > 2 * self.renewal_interval,
            "renewal_interval",
            "under half of the time for which a holder may rely on its lease",
            self.renewal_interval,
        )

    @property
    def holder_lease(self) -> float:
        """Seconds for which a holder may rely on a promise, counted from when it sent the request.

        This is the shortest true duration of a promise (the voter's clock is fastest), measured on the
        slowest clock that the holder can have, minus the safety margin.
        """
        return self.lease_duration * (1 - self.clock_drift) / (1 + self.clock_drift) - self.safety_margin


def _require(condition: bool, field: str, expected: str, value: float) -> None:
    if not condition:
        raise InvalidTimingError(field, expected, value)
