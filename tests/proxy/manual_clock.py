"""A clock that is set by the test."""

from __future__ import annotations

from saltcourse.proxy.clock import Clock


class ManualClock(Clock):
    """Returns ``time`` (s), which changes only when a test assigns it."""

    def __init__(self, time: float = 100.0) -> None:
        super().__init__()
        self.time = time

    def now(self) -> float:
        return self.time
