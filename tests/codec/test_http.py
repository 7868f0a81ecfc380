"""Parsing of HTTP responses: partial input, ends of bodies, and malformed responses."""

from __future__ import annotations

import pytest

from saltcourse.codec.errors import HttpResponseError
from saltcourse.codec.http import ResponseParser


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n",
    ],
)
def test_a_response_fed_byte_by_byte_is_parsed(text: bytes) -> None:
    response = ResponseParser()
    for i in range(len(text)):
        response.feed(text[i : i + 1])
    assert response.done and response.status == 200 and response.body == b"hello"


def test_the_end_of_the_connection_completes_only_a_body_without_a_length() -> None:
    response = ResponseParser()
    response.feed(b"HTTP/1.0 200 OK\r\n\r\nhello")
    response.feed_eof()
    assert response.done and response.body == b"hello"
    for text in (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", b"HTTP/1.1 200 OK\r\nContent"):
        incomplete = ResponseParser()
        incomplete.feed(text)
        with pytest.raises(HttpResponseError):
            incomplete.feed_eof()
    with pytest.raises(HttpResponseError):
        ResponseParser().feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
