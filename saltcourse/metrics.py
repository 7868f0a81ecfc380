"""The figures that operators read at the admin address, counted where each event happens.

Every process counts from 0. Counters only ever grow; gauges are read when the figures are asked for,
so that they cannot drift from what the program holds. The text is statsd's line format, one figure a
line: ``svc.replies.C.success:812|c`` and ``svc.concurrent:14|g``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

OUTCOMES = ("success", "overload", "error")  # brought up, refused with BUSY, failed with FAIL


class Metrics:
    """Counters of one process; ``gauges`` gives the figures that are read off the program's state."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.replies: dict[str, dict[str, int]] = {c: dict.fromkeys(OUTCOMES, 0) for c in classes}
        self.dispatches = 0
        self.gauges: Callable[[], dict[str, int]] = dict

    def reply(self, klass: str, outcome: str) -> None:
        """One final answer to a client of class ``klass``; classes that the settings lack are not kept."""
        counts = self.replies.get(klass)
        if counts is not None:
            counts[outcome] += 1

    def dispatched(self) -> None:
        """An attempt's first line was written whole to a provider."""
        self.dispatches += 1

    def text(self) -> bytes:
        lines = [
            f"svc.replies.{klass}.{outcome}:{count}|c"
            for klass, counts in self.replies.items()
            for outcome, count in counts.items()
        ]
        lines.append(f"svc.dispatches:{self.dispatches}|c")
        lines += [f"svc.{name}:{value}|g" for name, value in self.gauges().items()]
        return ("\n".join(lines) + "\n").encode()
