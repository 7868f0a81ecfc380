"""The line protocol of clients and backends: CRLF lines of at most 4 KiB, and what they mean.

The protocol's words are mapped to the terms of the code here and nowhere else; ``REPORT_FIELDS`` maps the
fields of load reports, also for the simulator's wire:

    OPEN id key fields     a request                        OpenRequest
      c=, t=, g=             request class, tenant, group
      d=                     ms until the client gives up   time_left
      h=                     expected load                  load_hint
      r=1, again=1           a retry; came back after BUSY or MOVE (passed on, not read)
      at=                    established at this backend before the proxy's start
    UP receipt             the backend takes the connection
    BUSY [ms]              rejected, with a Retry-After in ms
    ERR                    failed
    MOVE                   the client is to reconnect: the connection is migrated
    BYE                    the backend ends the connection in good order
    LOAD x                 the connection's load, in microseconds of work per second
    PING, STATS            health check, the latter asks for a load report
    PONG [fields], NO      healthy, perhaps with a load report; no health check is answered now

A ``LineBuffer`` is read into directly and hands out slices of itself; whoever needs a line beyond
the next read copies it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from saltcourse.balancing.events import LoadReport
from saltcourse.codec.errors import ProtocolError

MICROSECONDS = 1e-6  # s; LOAD is in microseconds of work per second
MAX_LINE_BYTES = 4096  # CRLF included
MAX_TIMEOUT_MILLISECONDS = 60_000  # no client waits longer for UP: a larger `d` is a mistake
MAX_RESUME_TIMEOUT_MILLISECONDS = 86_400_000  # of a connection from before the proxy's start
MAX_TIMEOUT_DIGITS = 12
LINE_END = b"\r\n"
OPEN_PREFIX = b"OPEN "
LOAD_PREFIX = b"LOAD "
UP, BUSY, ERR, MOVE, BYE = b"UP", b"BUSY", b"ERR", b"MOVE", b"BYE"
PING, PONG, STATS, NO = b"PING", b"PONG", b"STATS", b"NO"
MOVE_LINE = MOVE + LINE_END
FAIL_LINE = ERR + LINE_END
PONG_LINE = PONG + LINE_END
REPORT_FIELDS = {  # the simulator's name of a field and the sockets' own, where they differ
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
    """A fixed buffer of what has been read and not yet passed on."""

    __slots__ = ("_bytes", "_start", "_end", "_searched")

    def __init__(self, size: int = 2 * MAX_LINE_BYTES) -> None:
        self._bytes = bytearray(size)
        self._start = self._end = 0
        self._searched = 0  # there is no line end before this index

    def free_space(self) -> memoryview:
        """Where the next bytes are to be read into; empty when the buffer is full."""
        if self._start:
            kept = self._end - self._start
            self._bytes[:kept] = self._bytes[self._start : self._end]
            self._searched = max(0, self._searched - self._start)
            self._start, self._end = 0, kept
        return memoryview(self._bytes)[self._end :]

    def commit(self, count: int) -> None:
        """Count in the bytes that were read into the free space."""
        self._end += count

    @property
    def has_data(self) -> bool:
        """Whether anything has been read and not yet taken out."""
        return self._end > self._start

    def next_line(self) -> memoryview | None:
        """Take out the first whole line, with its CRLF; None when there is none yet.

        Raises ``ProtocolError`` for a line over ``MAX_LINE_BYTES``.
        """
        found = self._bytes.find(LINE_END, max(self._start, self._searched - 1), self._end)
        if found < 0:
            self._searched = self._end
            if self._end - self._start >= MAX_LINE_BYTES:
                raise ProtocolError("a line over 4 KiB")
            return None
        stop = found + len(LINE_END)
        if stop - self._start > MAX_LINE_BYTES:
            raise ProtocolError("a line over 4 KiB")
        line = memoryview(self._bytes)[self._start : stop]
        self._start = self._searched = stop
        return line

    def take_remaining(self) -> memoryview:
        """Take out all that is left, perhaps a part of a line."""
        remaining = memoryview(self._bytes)[self._start : self._end]
        self._start = self._searched = self._end
        return remaining


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A client's OPEN line: what it asks for, and the line itself, cut around the figure of ``d``.

    ``time_left`` is in seconds; ``key`` is the same with each of the client's retries. ``resume_backend`` is
    empty, or names the backend at which the connection was established before this proxy's start.
    """

    request: str
    key: str
    request_class: str
    time_left: float
    tenant: str  # no rule reads it
    group: str
    load_hint: float
    resume_backend: str
    before_timeout: bytes
    after_timeout: bytes

    def with_timeout(self, seconds: float) -> bytes:
        """The line for a backend: as the client sent it, but for how long the proxy will wait."""
        milliseconds = max(1, math.floor(seconds * 1000))
        return b"%s%d%s" % (self.before_timeout, milliseconds, self.after_timeout)


def parse_open(line: memoryview) -> OpenRequest:
    """Parse a whole OPEN line; it is copied, for it is sent with every attempt.

    Raises ``ProtocolError``.
    """
    raw = bytes(line)
    if not raw.startswith(OPEN_PREFIX):  # what floods in is mostly no OPEN line at all
        raise ProtocolError("not an OPEN line")
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        raise ProtocolError("a line that is not UTF-8") from None
    words = text[:-2].split(" ")
    if len(words) != 4 or not all(words):
        raise ProtocolError("not an OPEN line of four words")
    fields = _parse_fields(words[3])
    timeout = _timeout_digits(fields)
    if "c" not in fields:
        raise ProtocolError("OPEN: no 'c'")
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
    """``name=value`` pairs with commas between them; raises ``ProtocolError``."""
    fields: dict[str, str] = {}
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in fields:
            raise ProtocolError(f"OPEN: '{name[:20]}' has no value or stands twice")
        fields[name] = value
    return fields


def _timeout_digits(fields: dict[str, str]) -> str:
    """The figure of ``d`` as it is in the line; raises ``ProtocolError``."""
    digits = fields.get("d", "")
    longest = MAX_RESUME_TIMEOUT_MILLISECONDS if fields.get("at") else MAX_TIMEOUT_MILLISECONDS
    is_number = digits.isascii() and digits.isdigit() and len(digits) <= MAX_TIMEOUT_DIGITS
    if not is_number or not 0 < int(digits) <= longest:
        raise ProtocolError("OPEN: 'd' is not a sound number of milliseconds")
    return digits


def _parse_load_hint(fields: dict[str, str]) -> float:
    """The figure of ``h``, 0 where there is none; raises ``ProtocolError``."""
    try:
        hint = float(fields.get("h", "0"))
    except ValueError:
        hint = math.nan
    if not (math.isfinite(hint) and hint >= 0):
        raise ProtocolError("OPEN: 'h' is not a number of 0 or more")
    return hint


def _timeout_index(raw: bytes) -> int:
    """Where the figure of ``d`` begins in a line that is known to have one."""
    fields_start = raw.rindex(b" ") + 1
    if raw.startswith(b"d=", fields_start):
        return fields_start + len(b"d=")
    return raw.index(b",d=", fields_start) + len(b",d=")


def busy_line(retry_after: float) -> bytes:
    """A rejection; its Retry-After goes out in whole milliseconds (``retry_after`` in s)."""
    return b"BUSY %d\r\n" % round(retry_after * 1000) if retry_after > 0 else b"BUSY\r\n"


def word_of(line: memoryview) -> bytes:
    """The first word of a line, by which its kind is known."""
    return bytes(line[:-2]).split(b" ", 1)[0]


def parse_load(line: memoryview) -> float | None:
    """The figure of a ``LOAD X`` line; None when it is another line or X is no figure."""
    if bytes(line[: len(LOAD_PREFIX)]) != LOAD_PREFIX:
        return None
    try:
        value = float(bytes(line[len(LOAD_PREFIX) : -2]))
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def parse_load_report(line: memoryview) -> LoadReport | None:
    """The load report behind a line's first word, ``PONG q=2,x0=0.61``; None where none follows.

    A field of another name, or a value that is no figure, is passed over: the others still count.
    """
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
