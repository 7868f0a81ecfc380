"""A clock that a test sets."""

from __future__ import annotations

from saltcourse.proxy.clock import Clock


class ManualClock(Clock):
    """Stands still at ``time`` (s)."""

    def __init__(self, time: float = 100.0) -> None:
        super().__init__()
        self.time = time

    def now(self) -> float:
        return self.time
