"""The attempts of one request.

There is one attempt at a time, and exactly one outcome is reported to the balancer for each:

    BeginAttempt ──► begin ──► report (AttemptFinished)
         └── too late ──► report_not_sent (AttemptFinished, NOT_SENT)
"""

from __future__ import annotations

from saltcourse.balancing.events import NEVER_RAN, AttemptFinished, AttemptStatus
from saltcourse.codec.lines import OpenRequest
from saltcourse.proxy.attempt import AttemptOwner, AttemptSpec, BackendAttempt
from saltcourse.proxy.connection_context import ConnectionContext
from saltcourse.proxy.messages import BeginAttempt

END_MARGIN_SECONDS = 0.005  # time before the deadline at which an unanswered attempt is cancelled


class RequestAttempts:
    """Starts, cancels and reports the attempts of one request."""

    __slots__ = ("_context", "current", "may_have_run", "unreported")

    def __init__(self, context: ConnectionContext) -> None:
        self.current: BackendAttempt | None = None
        self.unreported: BeginAttempt | None = None  # the order whose outcome has not been reported yet
        self.may_have_run = False  # whether one of the attempts may have run the request
        self._context = context

    def begin(
        self, owner: AttemptOwner, message: BeginAttempt, open_request: OpenRequest, deadline: float
    ) -> None:
        """Start an attempt for ``owner``; ``deadline`` is the request's deadline (s, on the clock)."""
        timeout = self._timeout(message, deadline)
        self.unreported = message
        spec = AttemptSpec(
            message.attempt,
            message.backend,
            message.address,
            open_request.with_timeout(timeout),
            max(0.0, timeout),
            self._context.settings.connect_timeout,
        )
        self.current = BackendAttempt(owner, self._context.clock, spec)
        self.current.start()

    def _timeout(self, message: BeginAttempt, deadline: float) -> float:
        """Return the timeout (s) of the attempt, which expires before the balancer's timer for the deadline.

        The balancer can reject a request, which tells the client that it may retry, only if it knows that no
        attempt is in flight.
        """
        time_left = deadline - END_MARGIN_SECONDS - self._context.clock.now()
        return min(message.timeout, time_left) if message.timeout > 0 else time_left

    def close(self) -> None:
        """Cancel the attempt in flight, if any."""
        if self.current is not None:
            self.current.close()

    def elapsed(self) -> float:
        """Return the time (s) since the start of the current attempt, or 0 without one."""
        return 0.0 if self.current is None else self._context.clock.now() - self.current.started

    def report(self, status: AttemptStatus, final: bool = True) -> None:
        """Report the attempt's outcome to the balancer, once; ``final`` forbids a retry of the request."""
        begun, self.unreported = self.unreported, None
        if begun is not None and self.current is not None:
            self.may_have_run |= status not in NEVER_RAN and self.current.may_have_run()
            self._context.send_to_dispatcher(
                AttemptFinished(begun.request, begun.attempt, status, self.elapsed(), final)
            )

    def discard_outcome(self) -> None:
        """Discard the outcome of an attempt to resume a connection, which the balancer does not know of."""
        self.unreported = None

    def report_not_sent(self, message: BeginAttempt) -> None:
        """Report to the balancer that an attempt was ordered too late and has not begun."""
        self._context.send_to_dispatcher(
            AttemptFinished(message.request, message.attempt, AttemptStatus.NOT_SENT, 0.0, True)
        )
