"""The one clock of the program: Unix time at its start, advanced by the monotonic clock.

The endpoint list gives starts in Unix time and the balancer takes only differences, so its clock reads as
Unix time; yet it must never jump, and the system's wall clock may.
"""

from __future__ import annotations

import time


class Clock:
    """Times in seconds that never go back."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Unix time (s), as far as the wall clock was right at the program's start."""
        return self._offset + time.monotonic()
