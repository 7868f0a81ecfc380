"""Responses of the admin server, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass

import h11

TEXT = b"text/plain; charset=utf-8"
JSON = b"application/json"

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Response:
    """A status and a body; ``allow`` lists the methods that the path supports, for status 405."""

    status: int
    body: bytes = b""
    allow: bytes = b""
    content_type: bytes = TEXT


def encode_response(response: Response) -> bytes:
    """Return the bytes of a response, whose headers announce that the connection closes."""
    connection = h11.Connection(h11.SERVER)
    # h11 sends a response only after a request, so a placeholder replaces the request that was received.
    connection.receive_data(b"GET / HTTP/1.1\r\nhost: admin\r\n\r\n")
    connection.next_event()
    headers = [
        (b"content-type", response.content_type),
        (b"content-length", str(len(response.body)).encode()),
        (b"connection", b"close"),
    ]
    if response.allow:
        headers.append((b"allow", response.allow))
    head = h11.Response(
        status_code=response.status, headers=headers, reason=REASONS.get(response.status, b"")
    )
    events = (head, h11.Data(data=response.body), h11.EndOfMessage())
    return b"".join(connection.send(event) or b"" for event in events)
