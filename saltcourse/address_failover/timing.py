"""The intervals that an election runs by."""

from __future__ import annotations

import math
from dataclasses import dataclass

from saltcourse.address_failover.errors import InvalidTimingError


@dataclass(frozen=True, slots=True)
class ElectionTiming:
    """Seconds, the same for all members; ``clock_drift`` is a ratio.

    Raises InvalidTimingError, which names the field.
    """

    lease_duration: float = 0.6  # a voter's promise lasts so long on its own clock
    renewal_interval: float = 0.12  # between a holder's renewals
    clock_drift: float = 0.01  # by which the rate of each clock may differ from true time
    safety_margin: float = (
        0.03  # a holder withdraws so long before its lease ends: withdrawing takes time too
    )
    # Not in the operator's file: fixed whatever the lease.
    retry_interval: float = 0.06  # between repeats of a vote request that was not answered
    candidacy_timeout: float = 0.25  # after which a round of vote requests is given up
    start_jitter: float = 0.05  # candidates of one priority start within this time
    priority_delay: float = 0.08  # by which the next lower priority starts later; above start_jitter

    def __post_init__(self) -> None:
        """Check the ranges."""
        for field in (
            "lease_duration",
            "renewal_interval",
            "retry_interval",
            "candidacy_timeout",
            "start_jitter",
        ):
            value = getattr(self, field)
            _require(math.isfinite(value) and value > 0, field, "a time above 0")
        for field in ("safety_margin", "priority_delay"):
            value = getattr(self, field)
            _require(math.isfinite(value) and value >= 0, field, "0 or more")
        _require(0 <= self.clock_drift < 0.1, "clock_drift", "from 0 to under 0.1")
        _require(
            self.holder_lease > 2 * self.renewal_interval,
            "renewal_interval",
            "under half of what a holder's lease lasts",
        )

    @property
    def holder_lease(self) -> float:
        """Seconds for which a holder may rely on a promise, from when it sent the request.

        The shortest that the voter's clock can make of the promise, on the fastest clock that the holder can
        have, less the safety margin.
        """
        return self.lease_duration * (1 - self.clock_drift) / (1 + self.clock_drift) - self.safety_margin


def _require(condition: bool, field: str, expected: str) -> None:
    if not condition:
        raise InvalidTimingError(field, expected)
