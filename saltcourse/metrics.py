"""The metrics that operators read at the admin address, counted where each event happens.

Every process counts from 0. Counters only ever grow; gauges are read when the metrics are asked for, so that
they cannot drift from what the program holds. The text is statsd's line format, one metric a line:
``svc.replies.C.success:812|c`` and ``svc.concurrent:14|g``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum


class ReplyOutcome(Enum):
    """The final answer to a client; the value is the figure's name."""

    ESTABLISHED = "success"  # UP
    REJECTED = "overload"  # BUSY
    FAILED = "error"  # ERR


class Metrics:
    """Counters of one process; ``gauges`` gives the values that are read off the program's state."""

    def __init__(self, request_classes: Iterable[str]) -> None:
        self.replies: dict[str, dict[str, int]] = {
            request_class: {outcome.value: 0 for outcome in ReplyOutcome} for request_class in request_classes
        }
        self.dispatches = 0
        self.gauges: Callable[[], dict[str, int]] = dict

    def count_reply(self, request_class: str, outcome: ReplyOutcome) -> None:
        """One final answer to a client; classes that the settings lack are not kept."""
        counts = self.replies.get(request_class)
        if counts is not None:
            counts[outcome.value] += 1

    def count_dispatch(self) -> None:
        """An attempt's OPEN line was written whole to a backend."""
        self.dispatches += 1

    def text(self) -> bytes:
        """All metrics in statsd's line format."""
        lines = [
            f"svc.replies.{request_class}.{outcome}:{count}|c"
            for request_class, counts in self.replies.items()
            for outcome, count in counts.items()
        ]
        lines.append(f"svc.dispatches:{self.dispatches}|c")
        lines += [f"svc.{name}:{value}|g" for name, value in self.gauges().items()]
        return ("\n".join(lines) + "\n").encode()
