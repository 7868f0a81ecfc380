"""The subset of HTTP/1.1 that discovery needs: one GET request on its own connection, and its response.

The response passes through three states:

    HEAD --blank line--> BODY --Content-Length reached, last chunk, or end of a body without a length--> done
"""

from __future__ import annotations

from saltcourse.codec.errors import HttpResponseError

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024  # enough for tens of thousands of backends
LINE_END = b"\r\n"
HEAD_END = LINE_END + LINE_END


def get_request(host: str, target: str) -> bytes:
    """Return a GET request for ``target`` that asks the server to close the connection."""
    return (
        f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\nConnection: close\r\n\r\n"
    ).encode()


class ResponseParser:
    """Parses a response from the bytes fed to it; ``body`` is complete once ``done`` is true."""

    def __init__(self) -> None:
        self.status = 0
        self.body = bytearray()
        self.done = False
        self._received = bytearray()  # bytes that are not parsed yet
        self._content_length: int | None = None
        self._is_chunked = False
        self._in_body = False

    def feed(self, data: memoryview | bytes) -> None:
        """Parse received bytes. Raises ``HttpResponseError``."""
        self._received += data
        if not self._in_body:
            self._parse_head()
        if self._in_body and not self.done:
            self._parse_body()
        if len(self.body) + len(self._received) > MAX_BODY_BYTES + MAX_HEAD_BYTES:
            raise HttpResponseError(f"response exceeds {MAX_BODY_BYTES + MAX_HEAD_BYTES} bytes")

    def feed_eof(self) -> None:
        """Handle the end of the connection, which completes a body without Content-Length or chunks.

        Raises ``HttpResponseError`` if the response is incomplete.
        """
        if self._in_body and self._content_length is None and not self._is_chunked:
            self.done = True
        if not self.done:
            raise HttpResponseError("connection closed before the end of the response")

    def _parse_head(self) -> None:
        stop = self._received.find(HEAD_END)
        if stop < 0:
            if len(self._received) > MAX_HEAD_BYTES:
                raise HttpResponseError(f"response head exceeds {MAX_HEAD_BYTES} bytes")
            return
        status_line, *headers = bytes(self._received[:stop]).split(LINE_END)
        del self._received[: stop + len(HEAD_END)]
        self._parse_status_line(status_line)
        for header in headers:
            self._parse_header(header)
        self._in_body = True

    def _parse_status_line(self, line: bytes) -> None:
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            raise HttpResponseError("invalid HTTP/1.1 status line")
        self.status = int(words[1])

    def _parse_header(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        name, value = name.strip().lower(), value.strip()
        if name == b"content-length":
            if not value.isdigit():
                raise HttpResponseError("Content-Length is not a number")
            self._content_length = int(value)
        elif name == b"transfer-encoding":
            self._is_chunked = value.lower() == b"chunked"

    def _parse_body(self) -> None:
        if self._is_chunked:
            self._parse_chunks()
            return
        self.body += self._received
        self._received.clear()
        if self._content_length is not None and len(self.body) >= self._content_length:
            del self.body[self._content_length :]
            self.done = True

    def _parse_chunks(self) -> None:
        while not self.done:
            stop = self._received.find(LINE_END)
            if stop < 0:
                return
            size = _chunk_size(bytes(self._received[:stop]))
            start = stop + len(LINE_END)
            end = start + size + len(LINE_END)
            if len(self._received) < end:
                return
            self.body += self._received[start : start + size]
            del self._received[:end]
            self.done = size == 0


def _chunk_size(line: bytes) -> int:
    try:
        size = int(line.split(b";")[0], 16)
    except ValueError:
        raise HttpResponseError("chunk size is not a hexadecimal number") from None
    if size < 0:
        raise HttpResponseError("chunk size is negative")
    return size
