"""The one clock of the program: Unix time at its start, advanced by the monotonic clock.

The list tells starts in Unix time and the module takes only differences, so its clock reads as Unix
time; yet it must never jump, and the system's wall clock may.
"""

from __future__ import annotations

import time


class Clock:
    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        return self._offset + time.monotonic()
