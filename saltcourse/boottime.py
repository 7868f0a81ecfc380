"""The CLOCK_BOOTTIME clock, which keeps counting while the machine is suspended.

Leases and timeouts of hosts are timed with it, because a suspension of the machine must not extend them.
"""

from __future__ import annotations

import time


def boottime_seconds() -> float:
    """Return the seconds since the machine booted, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
