"""The metrics that operators read at the admin address.

Counters start at 0 in every process and only increase. Gauges are computed when the metrics are read, so that
they always match the state of the process. The output is statsd's line format, one metric per line:
``svc.replies.C.success:812|c`` and ``svc.concurrent:14|g``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum


class ReplyOutcome(Enum):
    """The final answer to a client; the value is the last part of the metric's name."""

    ESTABLISHED = "success"  # UP
    REJECTED = "overload"  # BUSY
    FAILED = "error"  # ERR


class Metrics:
    """The counters of one process; ``gauges`` returns the current gauge values by name."""

    def __init__(self, request_classes: Iterable[str]) -> None:
        self.replies: dict[str, dict[str, int]] = {
            request_class: {outcome.value: 0 for outcome in ReplyOutcome} for request_class in request_classes
        }
        self.dispatches = 0
        self.gauges: Callable[[], dict[str, int]] = dict

    def count_reply(self, request_class: str, outcome: ReplyOutcome) -> None:
        """Count one final answer to a client; request classes that are not in the settings are ignored."""
        counts = self.replies.get(request_class)
        if counts is not None:
            counts[outcome.value] += 1

    def count_dispatch(self) -> None:
        """Count one OPEN line that was written completely to a backend."""
        self.dispatches += 1

    def text(self) -> bytes:
        """Return all metrics in statsd's line format."""
        lines = [
            f"svc.replies.{request_class}.{outcome}:{count}|c"
            for request_class, counts in self.replies.items()
            for outcome, count in counts.items()
        ]
        lines.append(f"svc.dispatches:{self.dispatches}|c")
        lines += [f"svc.{name}:{value}|g" for name, value in self.gauges().items()]
        return ("\n".join(lines) + "\n").encode()
