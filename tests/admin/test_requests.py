"""Requests at the operators' address as bytes, cut at every place."""

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
def test_a_request_is_read_whole_and_every_wrong_one_gets_its_status(
    data: bytes, expected: Command | int
) -> None:
    reader, got = RequestReader(), None
    for at in range(len(data)):  # cut at every byte: nothing is decided before the request is complete
        got = reader.feed(data[at : at + 1])
        if got is not None:
            break
    if isinstance(expected, Command):
        assert got is expected and at == len(data) - 1
    else:
        assert isinstance(got, Response) and got.status == expected


def test_a_request_cut_short_is_malformed_and_a_response_closes() -> None:
    """A caller half-closes in the middle of its request: it gets an error, and the connection ends."""
    reader = RequestReader()
    assert reader.feed(b"GET /_ready HT") is None
    cut = reader.feed(b"")
    assert isinstance(cut, Response) and cut.status == 400
    head = encode_response(Response(405, b"", b"GET")).lower()
    assert head.startswith(b"http/1.1 405 ") and b"connection: close" in head and b"allow: get" in head
