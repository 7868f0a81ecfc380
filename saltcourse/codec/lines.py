"""The line protocol of clients and backends: CRLF-terminated lines of at most 4 KiB.

Only this module maps the protocol's names to the terms of the code. ``REPORT_FIELDS`` maps the fields of load
reports, including those of the simulator protocol:

    OPEN id key fields     a request                        OpenRequest
      c=, t=, g=             request class, tenant, group
      d=                     ms until the client gives up   time_left
      h=                     expected load                  load_hint
      r=1, again=1           a retry; a reconnect after BUSY or MOVE (forwarded, not parsed)
      at=                    backend of a connection established before the proxy's start
    UP receipt             the backend accepts the connection
    BUSY [ms]              the request is rejected, with an optional Retry-After in ms
    ERR                    the request failed
    MOVE                   the client must reconnect: the connection is migrated
    BYE                    the backend closes the connection normally
    LOAD x                 the connection's load, in microseconds of work per second
    PING, STATS            health checks; STATS also requests a load report
    PONG [fields], NO      healthy, with an optional load report; not answering health checks now

Sockets are read directly into a ``LineBuffer``. The lines that it returns are slices of the buffer, valid
until the next read; a caller that needs a line for longer must copy it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from saltcourse.balancing.events import LoadReport
from saltcourse.codec.errors import ProtocolError

MICROSECONDS = 1e-6  # seconds; LOAD is in microseconds of work per second
MAX_LINE_BYTES = 4096  # including CRLF
INITIAL_BUFFER_BYTES = 512  # most lines are shorter
MAX_TIMEOUT_MILLISECONDS = 60_000  # `d` of a new request: no client waits longer for UP
MAX_RESUME_TIMEOUT_MILLISECONDS = 86_400_000  # `d` with `at`: the connection was established earlier
MAX_TIMEOUT_DIGITS = 12
MAX_OPEN_FIELDS = 64  # several times what a request has; bounds the memory that parsing takes
LINE_END = b"\r\n"
OPEN_PREFIX = b"OPEN "
LOAD_PREFIX = b"LOAD "
UP, BUSY, ERR, MOVE, BYE = b"UP", b"BUSY", b"ERR", b"MOVE", b"BYE"
PING, PONG, STATS, NO = b"PING", b"PONG", b"STATS", b"NO"
MOVE_LINE = MOVE + LINE_END
FAIL_LINE = ERR + LINE_END
PONG_LINE = PONG + LINE_END
# Field of a load report, as the simulator or the line protocol names it -> field of LoadReport.
REPORT_FIELDS = {
    "rif": "inflight",
    "inflight": "inflight",
    "q": "queue",
    "queue": "queue",
    "busy": "utilisation",
    "util": "utilisation",
    "x0": "load",
    "x1": "backlog",
}


class LineBuffer:
    """A buffer for received bytes that have not been consumed yet.

    It grows to ``max_size`` bytes, enough for a line of the maximum length, when a read fills it, and shrinks
    when it is empty before a read: a proxy has two of them for each client, most of which are idle.
    """

    __slots__ = ("_bytes", "_start", "_end", "_searched", "_max_size")

    def __init__(self, max_size: int = MAX_LINE_BYTES) -> None:
        self._max_size = max_size
        self._bytes = bytearray(min(INITIAL_BUFFER_BYTES, max_size))
        self._start = self._end = 0
        self._searched = 0  # there is no line end before this index

    def free_space(self) -> memoryview:
        """Return the free part of the buffer, to read the next bytes into; empty if the buffer is full."""
        size = self._next_size()
        if self._start or size != len(self._bytes):
            self._move_to_front(size)
        return memoryview(self._bytes)[self._end :]

    def _next_size(self) -> int:
        size = len(self._bytes)
        if self._end == size:  # the last read filled the buffer, so more may be waiting
            return self._max_size
        return size if self.has_data else min(INITIAL_BUFFER_BYTES, self._max_size)

    def _move_to_front(self, size: int) -> None:
        """Move the unconsumed bytes to the front of a buffer of ``size`` bytes."""
        remaining = self._bytes[self._start : self._end]
        if size != len(self._bytes):  # a new one, because a line that was returned prevents a resize
            self._bytes = bytearray(size)
        self._bytes[: len(remaining)] = remaining
        self._searched = max(0, self._searched - self._start)
        self._start, self._end = 0, len(remaining)

    def commit(self, count: int) -> None:
        """Mark ``count`` bytes of the free space as received."""
        self._end += count

    @property
    def has_data(self) -> bool:
        """True if the buffer holds bytes that have not been consumed yet."""
        return self._end > self._start

    def next_line(self) -> memoryview | None:
        """Remove and return the first complete line with its CRLF, or None if more bytes are needed.

        Raises ``ProtocolError`` if the line exceeds ``MAX_LINE_BYTES``.
        """
        line_end = self._bytes.find(LINE_END, max(self._start, self._searched - 1), self._end)
        if line_end < 0:
            self._searched = self._end
            if self._end - self._start >= MAX_LINE_BYTES:
                raise ProtocolError("line exceeds 4096 bytes")
            return None
        stop = line_end + len(LINE_END)
        if stop - self._start > MAX_LINE_BYTES:
            raise ProtocolError("line exceeds 4096 bytes")
        line = memoryview(self._bytes)[self._start : stop]
        self._start = self._searched = stop
        return line

    def take_remaining(self) -> memoryview:
        """Remove and return all remaining bytes, which may end with an incomplete line."""
        remaining = memoryview(self._bytes)[self._start : self._end]
        self._start = self._searched = self._end
        return remaining


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A client's OPEN line: its fields, and the parts of the line before and after the value of ``d``.

    ``time_left`` is in seconds; ``key`` is the same for all retries of a request. ``resume_backend`` is
    empty, or names the backend at which the connection was established before this proxy's start.
    """

    request: str
    key: str
    request_class: str
    time_left: float
    tenant: str  # not used for decisions
    group: str
    load_hint: float
    resume_backend: str
    before_timeout: bytes
    after_timeout: bytes

    def with_timeout(self, seconds: float) -> bytes:
        """Return the client's line for a backend, with ``d`` set to the time that the proxy will wait."""
        milliseconds = max(1, math.floor(seconds * 1000))
        return b"%s%d%s" % (self.before_timeout, milliseconds, self.after_timeout)

    def without_line(self) -> OpenRequest:
        """Return the request without the text of its line, which is not sent again after an UP."""
        return replace(self, before_timeout=b"", after_timeout=b"")


def parse_open(line: memoryview) -> OpenRequest:
    """Parse a complete OPEN line; the line is copied, because it is sent with every attempt.

    Raises ``ProtocolError``.
    """
    raw = bytes(line)
    if not raw.startswith(OPEN_PREFIX):  # cheap check first: floods mostly consist of other lines
        raise ProtocolError("expected an OPEN line")
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        raise ProtocolError("OPEN: line is not valid UTF-8") from None
    words = text[:-2].split(" ")
    if len(words) != 4 or not all(words):
        raise ProtocolError("OPEN: line must have four words")
    fields = _parse_fields(words[3])
    timeout = _timeout_digits(fields)
    if "c" not in fields:
        raise ProtocolError("OPEN: 'c' is missing")
    load_hint = _parse_load_hint(fields)
    timeout_start = _timeout_index(raw)
    return OpenRequest(
        request=words[1],
        key=words[2],
        request_class=fields["c"],
        time_left=int(timeout) / 1000,
        tenant=fields.get("t", ""),
        group=fields.get("g", ""),
        load_hint=load_hint,
        resume_backend=fields.get("at", ""),
        before_timeout=raw[:timeout_start],
        after_timeout=raw[timeout_start + len(timeout) :],
    )


def _parse_fields(text: str) -> dict[str, str]:
    """Parse comma-separated ``name=value`` pairs. Raises ``ProtocolError``."""
    if text.count(",") >= MAX_OPEN_FIELDS:
        raise ProtocolError(f"OPEN: more than {MAX_OPEN_FIELDS} fields")
    fields: dict[str, str] = {}
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals:
            raise ProtocolError(f"OPEN: '{name[:20]}' has no value")
        if name in fields:
            raise ProtocolError(f"OPEN: duplicate field '{name[:20]}'")
        fields[name] = value
    return fields


def _timeout_digits(fields: dict[str, str]) -> str:
    """Return the value of ``d`` as it is written in the line. Raises ``ProtocolError`` if it is invalid."""
    digits = fields.get("d", "")
    longest = MAX_RESUME_TIMEOUT_MILLISECONDS if fields.get("at") else MAX_TIMEOUT_MILLISECONDS
    is_number = digits.isascii() and digits.isdigit() and len(digits) <= MAX_TIMEOUT_DIGITS
    if not is_number or not 0 < int(digits) <= longest:
        raise ProtocolError(f"OPEN: 'd' must be an integer from 1 to {longest} (milliseconds)")
    return digits


def _parse_load_hint(fields: dict[str, str]) -> float:
    """Return the value of ``h``, 0 if it is absent. Raises ``ProtocolError`` if it is invalid."""
    try:
        hint = float(fields.get("h", "0"))
    except ValueError:
        hint = math.nan
    if not (math.isfinite(hint) and hint >= 0):
        raise ProtocolError("OPEN: 'h' must be a number of 0 or more")
    return hint


def _timeout_index(raw: bytes) -> int:
    """Return the index of the value of ``d`` in a line that contains this field."""
    fields_start = raw.rindex(b" ") + 1
    if raw.startswith(b"d=", fields_start):
        return fields_start + len(b"d=")
    return raw.index(b",d=", fields_start) + len(b",d=")


def busy_line(retry_after: float) -> bytes:
    """Return a BUSY line; ``retry_after`` is in seconds and is sent rounded to milliseconds."""
    return b"BUSY %d\r\n" % round(retry_after * 1000) if retry_after > 0 else b"BUSY\r\n"


def word_of(line: memoryview) -> bytes:
    """Return the first word of a line, which identifies its kind."""
    return bytes(line[:-2]).split(b" ", 1)[0]


def parse_load(line: memoryview) -> float | None:
    """Return the value of a ``LOAD X`` line; None for another line, or if X is not a number of 0 or more."""
    if bytes(line[: len(LOAD_PREFIX)]) != LOAD_PREFIX:
        return None
    try:
        value = float(bytes(line[len(LOAD_PREFIX) : -2]))
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def parse_load_report(line: memoryview) -> LoadReport | None:
    """Return the load report that follows the first word of a line, as in ``PONG q=2,x0=0.61``.

    Unknown fields and invalid values are skipped. Return None if no valid field remains.
    """
    values: dict[str, float] = {}
    for pair in bytes(line[:-2]).partition(b" ")[2].decode("latin-1").split(","):
        name, _, text = pair.partition("=")
        try:
            value = float(text)
        except ValueError:
            continue
        if name in REPORT_FIELDS and math.isfinite(value) and value >= 0:
            values[REPORT_FIELDS[name]] = value
    return LoadReport(**values) if values else None
