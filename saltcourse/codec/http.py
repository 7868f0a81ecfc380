"""As much of HTTP/1.1 as discovery needs: one GET on a connection of its own, and the answer to it."""

from __future__ import annotations

LONGEST_HEAD = 16 * 1024
LONGEST_BODY = 8 * 1024 * 1024  # tens of thousands of providers
END = b"\r\n"


class BadAnswer(Exception):
    """Discovery's answer cannot be used; the text says why."""


def get(host: str, target: str) -> bytes:
    return (
        f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\nConnection: close\r\n\r\n"
    ).encode()


class Answer:
    """Grows with what is fed to it until ``done``; then ``body`` is whole."""

    def __init__(self) -> None:
        self.status = 0
        self.body = bytearray()
        self.done = False
        self._raw = bytearray()
        self._length: int | None = None
        self._chunked = False
        self._in_body = False

    def feed(self, data: memoryview | bytes) -> None:
        self._raw += data
        if not self._in_body:
            self._read_head()
        if self._in_body and not self.done:
            self._read_body()
        if len(self.body) + len(self._raw) > LONGEST_BODY + LONGEST_HEAD:
            raise BadAnswer("an answer that is too long")

    def ended(self) -> None:
        """The connection has ended: that is right only where nothing else marks the body's end."""
        if self._in_body and self._length is None and not self._chunked:
            self.done = True
        if not self.done:
            raise BadAnswer("the connection ended within an answer")

    def _read_head(self) -> None:
        stop = self._raw.find(END + END)
        if stop < 0:
            if len(self._raw) > LONGEST_HEAD:
                raise BadAnswer("a head that is too long")
            return
        lines = bytes(self._raw[:stop]).split(END)
        del self._raw[: stop + 4]
        first = lines[0].split(b" ", 2)
        if len(first) < 2 or not first[0].startswith(b"HTTP/1.") or not first[1].isdigit():
            raise BadAnswer("not an HTTP/1.1 status line")
        self.status = int(first[1])
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            name, value = name.strip().lower(), value.strip()
            if name == b"content-length":
                if not value.isdigit():
                    raise BadAnswer("a Content-Length that is no number")
                self._length = int(value)
            elif name == b"transfer-encoding":
                self._chunked = value.lower() == b"chunked"
        self._in_body = True

    def _read_body(self) -> None:
        if self._chunked:
            self._read_chunks()
            return
        self.body += self._raw
        self._raw.clear()
        if self._length is not None and len(self.body) >= self._length:
            del self.body[self._length :]
            self.done = True

    def _read_chunks(self) -> None:
        while not self.done:
            stop = self._raw.find(END)
            if stop < 0:
                return
            try:
                size = int(bytes(self._raw[:stop]).split(b";")[0], 16)
            except ValueError:
                raise BadAnswer("a chunk without a size") from None
            if size < 0:
                raise BadAnswer("a chunk of negative size")
            if len(self._raw) < stop + 2 + size + 2:
                return
            self.body += self._raw[stop + 2 : stop + 2 + size]
            del self._raw[: stop + 2 + size + 2]
            self.done = size == 0
