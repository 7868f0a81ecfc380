"""The line protocol of consumers and providers: CRLF lines of at most 4 KiB, and their meanings.

A ``LineBuffer`` is read into directly, and hands out slices of itself; whoever needs a line beyond
the next ``fill`` copies it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from saltcourse.balancing.events import LoadReport

MICRO = 1e-6  # LOAD tells microseconds of work a second
LONGEST_LINE = 4096  # bytes, CRLF included
LONGEST_WAIT_MS = 60_000  # no client waits longer than a minute for UP: a larger `d` is a mistake,
LONGEST_RESUME_MS = 86_400_000  # but on a connection from before the start, which may come at its leisure
END = b"\r\n"
REPORT_FIELDS = {  # the simulator's word for a field and the sockets' own, where they differ
    "rif": "inflight",
    "inflight": "inflight",
    "q": "queue",
    "queue": "queue",
    "busy": "utilisation",
    "util": "utilisation",
    "x0": "load",
    "x1": "backlog",
}
PING, PONG, STATS, NO = b"PING", b"PONG", b"STATS", b"NO"
MOVE_LINE, FAIL_LINE, PONG_LINE = b"MOVE\r\n", b"ERR\r\n", b"PONG\r\n"


class BadLine(Exception):
    """A peer sent what the protocol does not allow; the text says what."""


class LineBuffer:
    """A fixed buffer with what has been read and not yet passed on."""

    __slots__ = ("_bytes", "_start", "_end", "_seen")

    def __init__(self, size: int = 2 * LONGEST_LINE) -> None:
        self._bytes = bytearray(size)
        self._start = self._end = 0
        self._seen = 0  # up to here no line end was found, so it is not looked for again

    def room(self) -> memoryview:
        """Where the next bytes are to be read into; empty when the buffer is full."""
        if self._start:
            kept = self._end - self._start
            self._bytes[:kept] = self._bytes[self._start : self._end]
            self._start, self._end, self._seen = 0, kept, max(0, self._seen - self._start)
        return memoryview(self._bytes)[self._end :]

    def filled(self, count: int) -> None:
        self._end += count

    @property
    def pending(self) -> bool:
        return self._end > self._start

    def line(self) -> memoryview | None:
        """The first whole line with its CRLF, taken out of the buffer; None when there is none yet."""
        found = self._bytes.find(END, max(self._start, self._seen - 1), self._end)
        if found < 0:
            self._seen = self._end
            if self._end - self._start >= LONGEST_LINE:
                raise BadLine("a line over 4 KiB")
            return None
        stop = found + len(END)
        if stop - self._start > LONGEST_LINE:
            raise BadLine("a line over 4 KiB")
        line = memoryview(self._bytes)[self._start : stop]
        self._start = self._seen = stop
        return line

    def rest(self) -> memoryview:
        """All that is left, a part of a line perhaps; taken out of the buffer."""
        left = memoryview(self._bytes)[self._start : self._end]
        self._start = self._seen = self._end
        return left


@dataclass(frozen=True, slots=True)
class OpenLine:
    """A client's first line: what it asks for, and the line itself, cut around the figure of ``d``."""

    request: str
    key: str
    klass: str
    wait: float  # s
    tenant: str
    group: str
    load_hint: float
    repeat: bool
    came_back: bool
    at: str
    head: bytes
    tail: bytes

    def with_wait(self, seconds: float) -> bytes:
        """The line as a provider is to get it: unchanged but for how long the proxy will wait."""
        return b"%s%d%s" % (self.head, max(1, math.floor(seconds * 1000)), self.tail)


def read_open(line: memoryview) -> OpenLine:
    """Parse a whole OPEN line; it is copied, for it is sent on with every attempt."""
    raw = bytes(line)
    if not raw.startswith(b"OPEN "):  # what floods in is mostly no OPEN line at all
        raise BadLine("not an OPEN line")
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        raise BadLine("a line that is not UTF-8") from None
    words = text[:-2].split(" ")
    if len(words) != 4 or not all(words):
        raise BadLine("not an OPEN line of four words")
    values: dict[str, str] = {}
    for pair in words[3].split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in values:
            raise BadLine(f"OPEN: '{name[:20]}' has no value or stands twice")
        values[name] = value
    wait = values.get("d", "")
    longest = LONGEST_RESUME_MS if values.get("at") else LONGEST_WAIT_MS
    if not (wait.isascii() and wait.isdigit()) or len(wait) > 12 or not 0 < int(wait) <= longest:
        raise BadLine("OPEN: 'd' is not a sound number of milliseconds")
    if "c" not in values:
        raise BadLine("OPEN: no 'c'")
    try:
        hint = float(values.get("h", "0"))
    except ValueError:
        hint = math.nan
    if not (math.isfinite(hint) and hint >= 0):
        raise BadLine("OPEN: 'h' is not a number of 0 or more")
    listed = raw.rindex(b" ") + 1
    start = listed if raw.startswith(b"d=", listed) else raw.index(b",d=", listed) + 1
    start += 2
    return OpenLine(
        request=words[1],
        key=words[2],
        klass=values["c"],
        wait=int(wait) / 1000,
        tenant=values.get("t", ""),
        group=values.get("g", ""),
        load_hint=hint,
        repeat=values.get("r") == "1",
        came_back=values.get("again") == "1",
        at=values.get("at", ""),
        head=raw[:start],
        tail=raw[start + len(wait) :],
    )


def busy_line(retry_after: float) -> bytes:
    """A refusal; the client is told in whole milliseconds when to come again."""
    return b"BUSY %d\r\n" % round(retry_after * 1000) if retry_after > 0 else b"BUSY\r\n"


def word_of(line: memoryview) -> bytes:
    """A line's first word, which tells what the line is."""
    return bytes(line[:-2]).split(b" ", 1)[0]


def load_of(line: memoryview) -> float | None:
    """The figure of a ``LOAD X`` line; None when this is another line or X is no figure."""
    if bytes(line[:5]) != b"LOAD ":
        return None
    try:
        value = float(bytes(line[5:-2]))
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def report_of(line: memoryview) -> LoadReport | None:
    """The load report behind a line's first word, ``PONG q=2,x0=0.61``; None where none follows.

    A field of another name, or a figure that is none, is passed over: it must not void the others."""
    values: dict[str, float] = {}
    for pair in bytes(line[:-2]).partition(b" ")[2].decode("latin-1").split(","):
        name, _, figure = pair.partition("=")
        try:
            value = float(figure)
        except ValueError:
            continue
        if name in REPORT_FIELDS and math.isfinite(value) and value >= 0:
            values[REPORT_FIELDS[name]] = value
    return LoadReport(**values) if values else None
