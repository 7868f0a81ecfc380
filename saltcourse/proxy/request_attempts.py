"""The attempts of one request: one at a time, and exactly one outcome reported to the balancer for each.

BeginAttempt ──► begin ──► report (AttemptFinished)
     └── too late ──► report_not_sent (AttemptFinished, NOT_SENT)
"""

from __future__ import annotations

from saltcourse.balancing.events import AttemptFinished, AttemptStatus
from saltcourse.codec.lines import OpenRequest
from saltcourse.proxy.attempt import AttemptOwner, AttemptSpec, BackendAttempt
from saltcourse.proxy.connection_context import ConnectionContext
from saltcourse.proxy.messages import BeginAttempt

END_MARGIN_SECONDS = 0.005  # before the deadline at which an attempt that still waits is given up


class RequestAttempts:
    """Starts, abandons and reports the attempts of one request."""

    __slots__ = ("_context", "current", "unreported")

    def __init__(self, context: ConnectionContext) -> None:
        self.current: BackendAttempt | None = None
        self.unreported: BeginAttempt | None = None  # whose outcome the balancer does not know yet
        self._context = context

    def begin(self, owner: AttemptOwner, message: BeginAttempt, opened: OpenRequest, deadline: float) -> None:
        """Start an attempt for ``owner``; the answer is due at ``deadline`` (s, on the clock)."""
        timeout = self._timeout(message, deadline)
        self.unreported = message
        spec = AttemptSpec(
            message.attempt,
            message.backend,
            message.address,
            opened.with_timeout(timeout),
            max(0.0, timeout),
            self._context.settings.connect_timeout,
        )
        self.current = BackendAttempt(owner, self._context.clock, spec)
        self.current.start()

    def _timeout(self, message: BeginAttempt, deadline: float) -> float:
        """Seconds for the attempt, which ends before the balancer's own timer for the deadline.

        The balancer must know that no attempt is in flight to be able to reject the request, which tells the
        client that it may come again.
        """
        time_left = deadline - END_MARGIN_SECONDS - self._context.clock.now()
        return min(message.timeout, time_left) if message.timeout > 0 else time_left

    def close(self) -> None:
        """Give up the attempt in flight, if any."""
        if self.current is not None:
            self.current.close()

    def elapsed(self) -> float:
        """Seconds since the start of the current attempt."""
        return 0.0 if self.current is None else self._context.clock.now() - self.current.started

    def report(self, status: AttemptStatus, final: bool = True) -> None:
        """Report to the balancer how the attempt has ended, once; ``final``: the request ends with it."""
        begun, self.unreported = self.unreported, None
        if begun is not None and self.current is not None:
            self._context.send_to_dispatcher(
                AttemptFinished(begun.request, begun.attempt, status, self.elapsed(), final)
            )

    def drop_outcome(self) -> None:
        """Report nothing: the balancer does not know of an attempt to resume a connection."""
        self.unreported = None

    def report_not_sent(self, message: BeginAttempt) -> None:
        """Report to the balancer that an attempt came too late to begin."""
        self._context.send_to_dispatcher(
            AttemptFinished(message.request, message.attempt, AttemptStatus.NOT_SENT, 0.0, True)
        )
