"""The line protocol: the buffer, OPEN, BUSY and LOAD lines, and load reports."""

from __future__ import annotations

import pytest

from saltcourse.balancing.events import LoadReport
from saltcourse.codec.errors import ProtocolError
from saltcourse.codec.lines import (
    INITIAL_BUFFER_BYTES,
    LineBuffer,
    busy_line,
    parse_load,
    parse_load_report,
    parse_open,
)

OPEN = b"OPEN 9b1f 7f3a c=live-feed,t=acme,zd=7,d=2000,g=5c0f\r\n"


def fill(buffer: LineBuffer, data: bytes) -> None:
    """Feed ``data`` as reads do, each one into the free space, until the buffer is full."""
    while data and (count := min(len(data), len(space := buffer.free_space()))):
        space[:count] = data[:count]
        buffer.commit(count)
        data = data[count:]


def test_lines_fed_byte_by_byte_are_returned_complete() -> None:
    buffer, text, lines = LineBuffer(16), b"one\r\ntwo\r\n\r\nthree\r\nfo", []
    for i in range(len(text)):
        fill(buffer, text[i : i + 1])
        while (line := buffer.next_line()) is not None:
            lines.append(bytes(line))
    assert lines == [b"one\r\n", b"two\r\n", b"\r\n", b"three\r\n"]
    assert bytes(buffer.take_remaining()) == b"fo"


def test_a_line_may_have_at_most_4096_bytes() -> None:
    buffer = LineBuffer()
    fill(buffer, b"x" * 4094 + b"\r\n")
    line = buffer.next_line()
    assert line is not None and len(line) == 4096
    fill(buffer, b"x" * 4095 + b"\r\n")
    with pytest.raises(ProtocolError):
        buffer.next_line()


def test_a_buffer_grows_for_a_long_line_and_shrinks_once_it_is_consumed() -> None:
    """Guards against idle connections that keep the memory of the longest line that ever came."""
    buffer = LineBuffer()
    assert len(buffer.free_space()) == INITIAL_BUFFER_BYTES
    long_line = b"x" * 3000 + b"\r\n"
    fill(buffer, long_line + b"short\r\nbegin")
    line = buffer.next_line()
    fill(buffer, b"ning")  # the line stays valid until then, and does not prevent the buffer from moving
    assert line is not None and len(line) == len(long_line)
    assert bytes(buffer.next_line() or b"") == b"short\r\n"
    fill(buffer, b"\r\n")
    assert bytes(buffer.next_line() or b"") == b"beginning\r\n"
    assert not buffer.has_data and len(buffer.free_space()) == INITIAL_BUFFER_BYTES


def test_an_open_line_is_forwarded_with_only_d_changed() -> None:
    opened = parse_open(memoryview(OPEN))
    fields = (opened.request_class, opened.tenant, opened.group, opened.time_left)
    assert fields == ("live-feed", "acme", "5c0f", 2.0)
    assert opened.with_timeout(0.3129) == OPEN.replace(b",d=2000", b",d=312")
    first = parse_open(memoryview(b"OPEN a b d=5,c=q\r\n"))
    assert first.with_timeout(1) == b"OPEN a b d=1000,c=q\r\n"


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        (b"c=q,d=5,again", "OPEN: 'again' has no value"),
        (b"c=q,d=5,c", "OPEN: 'c' has no value"),  # also a duplicate: the missing value is reported
        (b"c=q,d=5,c=r", "OPEN: duplicate field 'c'"),
        (b"c=q,d=5," + b"x" * 30, f"OPEN: '{'x' * 20}' has no value"),
    ],
)
def test_a_field_without_a_value_and_a_duplicate_field_are_rejected(fields: bytes, message: str) -> None:
    with pytest.raises(ProtocolError, match=f"^{message}$"):
        parse_open(memoryview(b"OPEN a b " + fields + b"\r\n"))


def test_busy_lines_are_encoded_and_load_lines_parsed() -> None:
    assert busy_line(0.25) == b"BUSY 250\r\n" and busy_line(0) == b"BUSY\r\n"
    assert parse_load(memoryview(b"LOAD 65000.5\r\n")) == 65000.5
    assert parse_load(memoryview(b"LOAD much\r\n")) is None
    assert parse_load(memoryview(b"UPLOAD 1\r\n")) is None


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"PONG q=3,x0=0.61\r\n", LoadReport(queue=3, load=0.61)),
        (b"BYE inflight=7,queue=2,util=0.61\r\n", LoadReport(inflight=7, queue=2, utilisation=0.61)),
        (b"PONG x0=nan,q=-1,odd=4,x1=2,q\r\n", LoadReport(backlog=2)),
        (b"PONG x0=,\xff=1\r\n", None),
        (b"PONG\r\n", None),
        (b"BYE \r\n", None),
    ],
)
def test_load_reports_are_parsed_and_invalid_fields_skipped(line: bytes, expected: LoadReport | None) -> None:
    assert parse_load_report(memoryview(line)) == expected
