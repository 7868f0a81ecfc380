"""Access to CLOCK_BOOTTIME, a monotonic clock that keeps counting while the machine is suspended.

Leases and time-outs use it so that they also expire during a suspension.
"""

from __future__ import annotations

import time


def boottime_seconds() -> float:
    """Return the seconds since the machine booted, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
