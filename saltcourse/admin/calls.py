"""What an operator's call asks, read with h11, and the answer's bytes: no sockets, no clock.

Rules this file lives by:
- one call a connection: whatever follows the first call is not read, and every answer closes;
- a call is bounded: head and body together at most ``MOST_BYTES``, or it is malformed;
- every call gets one answer: 2xx for yes, 404 for a path that is not known, 405 for a method that the
  path does not take, 413 for a change that is too large, 400 for bytes that are no call (and the connection
  is closed after it).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import h11

MOST_BYTES = 8 * 1024  # an operator's call is a line and a few headers, or a small change in JSON
TEXT = b"text/plain; charset=utf-8"
JSON = b"application/json"
NO_SUCH_PATH = b"no such path\n"


class Ask(Enum):
    READY = "ready"
    VARS = "vars"
    LAMEDUCK_ON = "lameduck on"
    LAMEDUCK_OFF = "lameduck off"
    GOSSIP_MEMBERS = "gossip members"
    GOSSIP_CONFIGURATION = "gossip configuration"
    GOSSIP_PUBLISH = "gossip publish"


LAMEDUCK_ASKS = frozenset({Ask.LAMEDUCK_ON, Ask.LAMEDUCK_OFF})
GOSSIP_ASKS = frozenset({Ask.GOSSIP_MEMBERS, Ask.GOSSIP_CONFIGURATION, Ask.GOSSIP_PUBLISH})

ROUTES: dict[bytes, dict[bytes, Ask]] = {
    b"/_ready": {b"GET": Ask.READY},
    b"/_vars": {b"GET": Ask.VARS},
    b"/_lameduck/on": {b"PUT": Ask.LAMEDUCK_ON},
    b"/_lameduck/off": {b"PUT": Ask.LAMEDUCK_OFF},
    b"/_gossip/members": {b"GET": Ask.GOSSIP_MEMBERS},
    b"/_gossip/configuration": {b"GET": Ask.GOSSIP_CONFIGURATION, b"PUT": Ask.GOSSIP_PUBLISH},
}


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    body: bytes = b""
    allow: bytes = b""
    content_type: bytes = TEXT


class Reader:
    """Bytes of one connection in, at most one call out."""

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_BYTES)
        self._asked: Ask | Answer | None = None
        self._size = 0
        self._body = bytearray()

    @property
    def body(self) -> bytes:
        """Of a whole call."""
        return bytes(self._body)

    def feed(self, data: bytes) -> Ask | Answer | None:
        """What was asked once the call is whole, an answer at once when it is wrong, else None."""
        self._size += len(data)
        if self._size > MOST_BYTES:
            return Answer(413 if self._asked is Ask.GOSSIP_PUBLISH else 400, b"call too large\n")
        self._h11.receive_data(data)
        try:
            while True:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    if not data:
                        return Answer(400, b"call cut short\n")
                    return None
                if isinstance(event, h11.Request):
                    self._asked = route(event.method, event.target)
                elif isinstance(event, h11.Data):
                    self._body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    return self._asked
                elif isinstance(event, h11.ConnectionClosed):
                    return Answer(400, b"call cut short\n")
        except h11.RemoteProtocolError as wrong:
            return Answer(400, f"malformed call: {wrong}\n".encode())


def route(method: bytes, target: bytes) -> Ask | Answer:
    path = target.split(b"?", 1)[0]
    known = ROUTES.get(path)
    if known is None:
        return Answer(404, NO_SUCH_PATH)
    ask = known.get(method)
    if ask is None:
        return Answer(405, b"method not allowed\n", b", ".join(known))
    return ask


REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}


def answer_bytes(answer: Answer) -> bytes:
    """The whole answer; it always closes the connection."""
    writer = h11.Connection(h11.SERVER)
    # The writer must have seen a call before it writes an answer; this one stands for whatever came.
    writer.receive_data(b"GET / HTTP/1.1\r\nhost: admin\r\n\r\n")
    writer.next_event()
    headers = [
        (b"content-type", answer.content_type),
        (b"content-length", str(len(answer.body)).encode()),
        (b"connection", b"close"),
    ]
    if answer.allow:
        headers.append((b"allow", answer.allow))
    head = writer.send(
        h11.Response(status_code=answer.status, headers=headers, reason=REASONS.get(answer.status, b""))
    )
    body = writer.send(h11.Data(data=answer.body)) or b""
    return (head or b"") + body + (writer.send(h11.EndOfMessage()) or b"")
