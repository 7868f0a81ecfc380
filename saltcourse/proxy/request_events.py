"""Creates the balancer's events for a request from its OPEN line."""

from __future__ import annotations

from saltcourse.balancing.events import ConnectionResumed, RequestReceived
from saltcourse.codec.lines import OpenRequest

MIN_TIME_LEFT_SECONDS = 0.001
RESUME_TIMEOUT_SECONDS = 40.0  # replaces the `d` of an OPEN that resumes a connection, which is over an hour


def time_left_for_answer(opened: OpenRequest, shutdown_time_left: float) -> float:
    """Return the time (s) until the final answer has to be written.

    It is limited by the client's timeout and by ``shutdown_time_left`` (s), the time until a shutdown needs
    all answers written.
    """
    time_left = opened.time_left
    if opened.resume_backend:
        time_left = min(time_left, RESUME_TIMEOUT_SECONDS)
    return max(MIN_TIME_LEFT_SECONDS, min(time_left, shutdown_time_left))


def request_received(opened: OpenRequest, time_left: float) -> RequestReceived:
    """Return the event for a new request that has to be answered within ``time_left`` s."""
    return RequestReceived(
        request=opened.request,
        request_class=opened.request_class,
        time_left=time_left,
        load_hint=opened.load_hint,
        flow=opened.key,
        group=opened.group,
    )


def connection_resumed(opened: OpenRequest) -> ConnectionResumed:
    """Return the event for a connection that was re-established at the backend named in its OPEN line."""
    return ConnectionResumed(
        request=opened.request,
        request_class=opened.request_class,
        backend=opened.resume_backend,
        load_hint=opened.load_hint,
        group=opened.group,
    )
