"""Parsing of requests to the admin server, fed byte by byte."""

from __future__ import annotations

import pytest

from saltcourse.admin.requests import MAX_REQUEST_BYTES, Command, RequestReader
from saltcourse.admin.responses import Response, encode_response


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n", Command.READY),
        (b"GET /_vars?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", Command.VARS),
        (b"PUT /_lameduck/on HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", Command.LAMEDUCK_ON),
        (b"PUT /_lameduck/off HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nno", Command.LAMEDUCK_OFF),
        (b"GET /_gossip/members HTTP/1.1\r\nHost: a\r\n\r\n", Command.GOSSIP_MEMBERS),
        (
            b"PUT /_gossip/configuration HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}",
            Command.GOSSIP_PUBLISH,
        ),
        (
            b"PUT /_gossip/configuration HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n"
            + b"z" * MAX_REQUEST_BYTES,
            413,
        ),
        (b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"POST /_ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /_lameduck/on HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"BLAH\r\n\r\n", 400),
        (b"GET /_ready HTTP/1.1\r\nHost: a\r\nX: " + b"y" * MAX_REQUEST_BYTES + b"\r\n\r\n", 400),
        (
            b"PUT /_lameduck/on HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n"
            + b"z" * MAX_REQUEST_BYTES,
            400,
        ),
    ],
)
def test_valid_requests_give_a_command_and_invalid_requests_a_status(
    data: bytes, expected: Command | int
) -> None:
    reader, result = RequestReader(), None
    for index in range(len(data)):  # there must be no command before the request is complete
        result = reader.feed(data[index : index + 1])
        if result is not None:
            break
    if isinstance(expected, Command):
        assert result is expected and index == len(data) - 1
    else:
        assert isinstance(result, Response) and result.status == expected


def test_an_incomplete_request_gets_400_and_responses_close_the_connection() -> None:
    """A caller half-closes the connection in the middle of its request."""
    reader = RequestReader()
    assert reader.feed(b"GET /_ready HT") is None
    result = reader.feed(b"")
    assert isinstance(result, Response) and result.status == 400
    head = encode_response(Response(405, b"", b"GET")).lower()
    assert head.startswith(b"http/1.1 405 ") and b"connection: close" in head and b"allow: get" in head
