"""The clock of the proxy: Unix time at process start, advanced by the monotonic clock.

The endpoint list gives the start times of backends in Unix time, so the balancer's clock has to match Unix
time. It must never jump, as the system's wall clock may; the balancer uses only differences of times.
"""

from __future__ import annotations

import time


class Clock:
    """A clock that never goes backwards."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the Unix time (s), as accurate as the wall clock was at process start."""
        return self._offset + time.monotonic()
