"""The pure parts: buffers, lines, HTTP, the list and the delay meter."""

from __future__ import annotations

import asyncio

import pytest

from saltcourse.balancing.events import AttemptStatus, BackendState, HealthCheckFinished, LoadReport
from saltcourse.balancing.response_latency import SILENT_AFTER, DelayMeter
from saltcourse.codec.endpoint_list import BadList, parse_list
from saltcourse.codec.http import Answer, BadAnswer
from saltcourse.codec.lines import BadLine, LineBuffer, busy_line, load_of, read_open, report_of
from saltcourse.proxy.attempt import ProbeCall
from saltcourse.proxy.clock import Clock

OPEN = b"OPEN 9b1f 7f3a c=live-feed,t=acme,zd=7,d=2000,g=5c0f\r\n"


def fill(buffer: LineBuffer, data: bytes) -> None:
    room = buffer.room()
    room[: len(data)] = data
    buffer.filled(len(data))


def test_lines_come_out_whole_however_they_came_in() -> None:
    buffer, text, found = LineBuffer(16), b"one\r\ntwo\r\n\r\nthree\r\nfo", []
    for i in range(len(text)):
        fill(buffer, text[i : i + 1])
        while (line := buffer.line()) is not None:
            found.append(bytes(line))
    assert found == [b"one\r\n", b"two\r\n", b"\r\n", b"three\r\n"] and bytes(buffer.rest()) == b"fo"


def test_a_line_may_have_4096_bytes_and_no_more() -> None:
    buffer = LineBuffer()
    fill(buffer, b"x" * 4094 + b"\r\n")
    line = buffer.line()
    assert line is not None and len(line) == 4096
    fill(buffer, b"x" * 4095 + b"\r\n")
    with pytest.raises(BadLine):
        buffer.line()


def test_the_first_line_goes_on_unchanged_but_for_d() -> None:
    opened = read_open(memoryview(OPEN))
    assert (opened.klass, opened.tenant, opened.group, opened.wait) == ("live-feed", "acme", "5c0f", 2.0)
    assert opened.with_wait(0.3129) == OPEN.replace(b",d=2000", b",d=312")
    first = read_open(memoryview(b"OPEN a b d=5,c=q\r\n"))
    assert first.with_wait(1) == b"OPEN a b d=1000,c=q\r\n"


def test_small_words() -> None:
    assert busy_line(0.25) == b"BUSY 250\r\n" and busy_line(0) == b"BUSY\r\n"
    assert load_of(memoryview(b"LOAD 65000.5\r\n")) == 65000.5
    assert load_of(memoryview(b"LOAD much\r\n")) is None and load_of(memoryview(b"UPLOAD 1\r\n")) is None


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n",
    ],
)
def test_http_bodies_byte_by_byte(text: bytes) -> None:
    answer = Answer()
    for i in range(len(text)):
        answer.feed(text[i : i + 1])
    assert answer.done and answer.status == 200 and answer.body == b"hello"


def test_http_ends() -> None:
    answer = Answer()
    answer.feed(b"HTTP/1.0 200 OK\r\n\r\nhello")
    answer.ended()
    assert answer.done and answer.body == b"hello"
    for text in (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", b"HTTP/1.1 200 OK\r\nContent"):
        cut = Answer()
        cut.feed(text)
        with pytest.raises(BadAnswer):
            cut.ended()
    with pytest.raises(BadAnswer):
        Answer().feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")


def test_a_list_and_its_faults() -> None:
    entry = b'{"id":"s","addr":"10.0.0.1:81","state":"DRAINING","started_ms":1500,"weight":2}'
    listing = parse_list(b'{"version":4,"full":false,"servers":[%s]}' % entry)
    member = listing.members[0]
    assert (member.state, member.started, member.weight) == (BackendState.DRAINING, 1.5, 2.0)
    assert listing.addresses == {"s": ("10.0.0.1", 81)}
    gone = parse_list(b'{"version":4,"full":false,"servers":[{"id":"s","state":"DELETED"}]}')
    assert gone.members[0].state is BackendState.REMOVED and not gone.addresses
    for broken in (
        b"",
        b"[]",
        b'{"version":1,"full":true}',
        b'{"version":true,"full":true,"servers":[]}',
        b'{"version":1,"full":true,"servers":[{"id":"s","state":"SERVING","addr":"x"}]}',
        b'{"version":1,"full":true,"servers":[{"id":1,"state":"SERVING","addr":"x:1"}]}',
    ):
        with pytest.raises(BadList):
            parse_list(broken)


def test_delay_is_noted_once_a_second_while_slow_and_once_after() -> None:
    meter = DelayMeter(slow=0.02)
    for request, server in (("a", "s0"), ("b", "s0"), ("c", "s1")):
        meter.stands(request, server)
    meter.line_sent("a", 10.0)
    meter.line_back("a", 10.05)
    meter.line_sent("c", 10.0)
    meter.line_back("c", 10.001)
    [(request, delay)] = meter.notes(10.5)
    assert request in "ab" and delay == pytest.approx(0.05)
    assert meter.notes(11.5) == []  # nothing measured, nothing known
    meter.line_sent("b", 12.0)
    assert meter.notes(12.5) == [("b", pytest.approx(0.5))]  # a line without answer has its age
    meter.line_back("b", 12.6)
    meter.line_sent("a", 13.0)
    meter.line_back("a", 13.001)
    meter.notes(13.5)
    meter.line_sent("a", 14.0)
    meter.line_back("a", 14.001)
    assert [round(d, 3) for _, d in meter.notes(14.5)] in ([], [0.001])


def test_a_connection_that_brings_nothing_back_is_named_until_it_ends() -> None:
    meter = DelayMeter(slow=0.02)
    meter.stands("a", "s0")
    meter.line_sent("a", 10.0)
    meter.line_sent("a", 12.0)  # the oldest counts
    assert meter.silent(10.0 + SILENT_AFTER - 0.1) == [] and meter.silent(10.0 + SILENT_AFTER) == ["a"]
    meter.ended("a")
    assert meter.silent(99.0) == []


def test_a_provider_is_hung_when_several_lines_stay_unanswered_while_others_answer() -> None:
    # Each client was moved by itself after 4 s of silence; thirteen of them had lost 45 s between them.
    meter = DelayMeter(slow=0.02)
    for request in "abcd":
        meter.stands(request, "hung")
    meter.stands("z", "sound")
    meter.line_sent("a", 9.8)
    meter.line_back("a", 9.9)
    for i, request in enumerate("ab"):
        meter.line_sent(request, 10.0 + i / 5)
    meter.line_sent("z", 10.8)
    assert not meter.hung(11.0)  # nobody answers: that may be this program's own fault
    meter.line_back("z", 10.8)
    assert not meter.hung(10.8)  # too early for the second line
    assert meter.hung(11.0) == [("a", pytest.approx(1.0))]
    meter.line_back("d", 10.9)  # a hung provider was seen to say something unasked
    assert meter.hung(11.0)
    meter.line_back("b", 10.9)
    assert not meter.hung(11.0)


def test_a_load_line_under_a_second_in_milliseconds_is_a_delay_and_longer_only_after_one() -> None:
    meter = DelayMeter(slow=0.02)
    for request, server in (("a", "s0"), ("b", "s0"), ("c", "s1")):
        meter.stands(request, server)
    assert [meter.told("a", figure, 10.0) for figure in (65000.0, 1900.0, 1000.0)] == [None] * 3  # loads
    assert meter.told("a", 900.0, 11.0) == pytest.approx(0.9)
    assert meter.told("b", 1850.0, 12.0) == pytest.approx(1.85)  # piled up further, on another connection
    assert meter.told("c", 1850.0, 12.0) is None  # its provider has told of no delay
    assert meter.told("b", 1850.0, 15.0) is None  # nor has this one for a while
    assert meter.told("b", 1.5, 16.0) == pytest.approx(0.0015)  # the last of a spell: it is back under
    assert meter.told("unknown", 5.0, 16.0) is None
    meter.ended("a")
    meter.ended("b")
    meter.notes(17.0)
    assert set(meter.told_last) <= {"s1"}, "providers without connections are forgotten"
    silent = DelayMeter(slow=float("inf"))  # the settings say that no such notes are sent
    silent.stands("a", "s0")
    assert silent.told("a", 5.0, 10.0) is None


@pytest.mark.parametrize(
    ("line", "want"),
    [
        (b"PONG q=3,x0=0.61\r\n", LoadReport(queue=3, load=0.61)),
        (b"BYE inflight=7,queue=2,util=0.61\r\n", LoadReport(inflight=7, queue=2, utilisation=0.61)),
        (b"PONG x0=nan,q=-1,odd=4,x1=2,q\r\n", LoadReport(backlog=2)),
        (b"PONG x0=,\xff=1\r\n", None),
        (b"PONG\r\n", None),
        (b"BYE \r\n", None),
    ],
)
def test_the_load_behind_a_word_is_read_and_what_is_no_figure_is_passed_over(
    line: bytes, want: LoadReport | None
) -> None:
    assert report_of(memoryview(line)) == want


def test_a_probe_brings_back_the_load_that_its_answer_tells() -> None:
    # Every report was dropped on sockets: 3.6 probes a request were paid for and nothing was learned.
    async def provider(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await reader.readline() == b"STATS\r\n"
        writer.write(b"PONG q=0,x0=0.276\r\n")

    async def probed() -> HealthCheckFinished:
        got: asyncio.Future[HealthCheckFinished] = asyncio.get_running_loop().create_future()
        async with await asyncio.start_server(provider, "127.0.0.1", 0) as server:
            ProbeCall("s0", server.sockets[0].getsockname()[:2], True, Clock(), got.set_result).start()
            return await got

    result = asyncio.run(probed())
    assert result.status is AttemptStatus.OK and result.report == LoadReport(queue=0, load=0.276)
