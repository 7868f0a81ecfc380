"""Creates the balancer's events for a request from its OPEN line."""

from __future__ import annotations

from saltcourse.balancing.events import ConnectionResumed, RequestReceived
from saltcourse.codec.lines import OpenRequest

MIN_TIME_LEFT_SECONDS = 0.001
RESUME_TIMEOUT_SECONDS = 40.0  # limits the `d` of an OPEN that resumes a connection, which exceeds an hour


def time_left_for_answer(open_request: OpenRequest, shutdown_time_left: float) -> float:
    """Return the time (s) until the final answer has to be written.

    It is limited by the client's timeout and by ``shutdown_time_left`` (s), the time until a shutdown needs
    all answers written.
    """
    time_left = open_request.time_left
    if open_request.resume_backend:
        time_left = min(time_left, RESUME_TIMEOUT_SECONDS)
    return max(MIN_TIME_LEFT_SECONDS, min(time_left, shutdown_time_left))


def request_received(open_request: OpenRequest, time_left: float) -> RequestReceived:
    """Return the event for a new request that has to be answered within ``time_left`` s."""
    return RequestReceived(
        request=open_request.request,
        request_class=open_request.request_class,
        time_left=time_left,
        load_hint=open_request.load_hint,
        flow=open_request.key,
        group=open_request.group,
    )


def connection_resumed(open_request: OpenRequest) -> ConnectionResumed:
    """Return the event for a connection that was re-established at the backend named in its OPEN line."""
    return ConnectionResumed(
        request=open_request.request,
        request_class=open_request.request_class,
        backend=open_request.resume_backend,
        load_hint=open_request.load_hint,
        group=open_request.group,
    )
