"""The clock of hosts whose leases and time-outs must not outlast a suspension of the machine."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Seconds since the machine booted, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
