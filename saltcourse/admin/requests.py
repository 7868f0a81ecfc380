r"""Parses requests to the admin server with h11: bytes in, a command out. It uses no sockets and no clock.

Rules:

- One request per connection: bytes after the first request are ignored, and every response closes the
  connection.
- A request is limited: its head and body together have at most ``MAX_REQUEST_BYTES``.
- Every request gets one response. This module creates the responses to invalid requests: 404 for an unknown
  path, 405 for a method that the path does not support, 413 for a change that is too large, 400 for
  malformed, incomplete or otherwise too large requests.

The reader of a connection is in one of these states::

    head --Request--> body --EndOfMessage--> done: a Command, or the Response to an unknown route
       \                \
        \----------------\--malformed, too large, incomplete--> done: a Response
"""

from __future__ import annotations

from enum import Enum

import h11

from saltcourse.admin.responses import Response

MAX_REQUEST_BYTES = 8 * 1024  # enough for a request line, a few headers and a small change in JSON
NO_SUCH_PATH = Response(404, b"no such path\n")
INCOMPLETE = Response(400, b"incomplete request\n")


class Command(Enum):
    """A command that an operator can send."""

    READY = "ready"
    VARS = "vars"
    LAMEDUCK_ON = "lameduck on"
    LAMEDUCK_OFF = "lameduck off"
    GOSSIP_MEMBERS = "gossip members"
    GOSSIP_CONFIGURATION = "gossip configuration"
    GOSSIP_PUBLISH = "gossip publish"


LAMEDUCK_COMMANDS = frozenset({Command.LAMEDUCK_ON, Command.LAMEDUCK_OFF})
GOSSIP_COMMANDS = frozenset({Command.GOSSIP_MEMBERS, Command.GOSSIP_CONFIGURATION, Command.GOSSIP_PUBLISH})

ROUTES: dict[bytes, dict[bytes, Command]] = {
    b"/_ready": {b"GET": Command.READY},
    b"/_vars": {b"GET": Command.VARS},
    b"/_lameduck/on": {b"PUT": Command.LAMEDUCK_ON},
    b"/_lameduck/off": {b"PUT": Command.LAMEDUCK_OFF},
    b"/_gossip/members": {b"GET": Command.GOSSIP_MEMBERS},
    b"/_gossip/configuration": {b"GET": Command.GOSSIP_CONFIGURATION, b"PUT": Command.GOSSIP_PUBLISH},
}


def route(method: bytes, target: bytes) -> Command | Response:
    """Return the command for a method and target, or the error response if there is none."""
    path = target.split(b"?", 1)[0]
    methods = ROUTES.get(path)
    if methods is None:
        return NO_SUCH_PATH
    command = methods.get(method)
    if command is None:
        return Response(405, b"method not allowed\n", b", ".join(methods))
    return command


class RequestReader:
    """Parses the single request of a connection."""

    def __init__(self) -> None:
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES)
        self._routed: Command | Response | None = None  # set once the head is complete
        self._size = 0
        self._body = bytearray()

    @property
    def body(self) -> bytes:
        """The body of the request, once that is complete."""
        return bytes(self._body)

    def feed(self, data: bytes) -> Command | Response | None:
        """Parse the next bytes; ``b""`` marks the end of the stream.

        Return the command once its request is complete, an error response if the request is invalid, and None
        if more bytes are needed.
        """
        self._size += len(data)
        if self._size > MAX_REQUEST_BYTES:
            status = 413 if self._routed is Command.GOSSIP_PUBLISH else 400
            return Response(status, b"request too large\n")
        self._connection.receive_data(data)
        try:
            return self._handle_events(is_end=not data)
        except h11.RemoteProtocolError as error:
            return Response(400, f"malformed request: {error}\n".encode())

    def _handle_events(self, is_end: bool) -> Command | Response | None:
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                return INCOMPLETE if is_end else None
            if isinstance(event, h11.ConnectionClosed):
                return INCOMPLETE
            if isinstance(event, h11.EndOfMessage):
                return self._routed
            if isinstance(event, h11.Request):
                self._routed = route(event.method, event.target)
            elif isinstance(event, h11.Data):
                self._body += event.data
