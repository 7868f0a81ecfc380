"""The response latency meter: reports on slow backends, silent connections, hung backends, LOAD lines."""

from __future__ import annotations

import pytest

from saltcourse.balancing.response_latency import SILENT_AFTER_SECONDS, LatencyReport, ResponseLatencyMeter


def meter_of(connections: dict[str, str], slow: float = 0.02) -> ResponseLatencyMeter:
    meter = ResponseLatencyMeter(slow)
    for request, backend in connections.items():
        meter.connection_established(request, backend)
    return meter


def test_a_backend_is_reported_once_a_second_while_slow_and_once_after() -> None:
    meter = meter_of({"a": "s0", "b": "s0", "c": "s1"})
    meter.line_sent("a", 10.0)
    meter.line_received("a", 10.05)
    meter.line_sent("c", 10.0)
    meter.line_received("c", 10.001)
    [report] = meter.latency_reports(10.5)
    assert report.request in "ab" and report.latency == pytest.approx(0.05)
    assert meter.latency_reports(11.5) == []  # nothing measured, nothing known
    meter.line_sent("b", 12.0)
    unanswered = meter.latency_reports(12.5)
    assert unanswered == [LatencyReport("b", pytest.approx(0.5))]  # a line without answer has its age
    meter.line_received("b", 12.6)
    meter.line_sent("a", 13.0)
    meter.line_received("a", 13.001)
    meter.latency_reports(13.5)
    meter.line_sent("a", 14.0)
    meter.line_received("a", 14.001)
    assert [round(report.latency, 3) for report in meter.latency_reports(14.5)] in ([], [0.001])


def test_a_connection_that_brings_nothing_back_is_named_until_it_ends() -> None:
    meter = meter_of({"a": "s0"})
    meter.line_sent("a", 10.0)
    meter.line_sent("a", 12.0)  # the oldest counts
    assert meter.silent_connections(10.0 + SILENT_AFTER_SECONDS - 0.1) == []
    assert meter.silent_connections(10.0 + SILENT_AFTER_SECONDS) == ["a"]
    meter.connection_ended("a")
    assert meter.silent_connections(99.0) == []


def test_a_backend_is_hung_when_several_lines_stay_unanswered_while_others_answer() -> None:
    """A backend hung with thirteen connections.

    Each client was migrated by itself after 4 s of silence, and they lost 45 s between them. The backend was
    to be recognised by the first unanswered lines on several connections.
    """
    meter = meter_of(dict.fromkeys("abcd", "hung") | {"z": "healthy"})
    meter.line_sent("a", 9.8)
    meter.line_received("a", 9.9)
    for i, request in enumerate("ab"):
        meter.line_sent(request, 10.0 + i / 5)
    meter.line_sent("z", 10.8)
    assert not meter.hung_backends(11.0)  # nobody answers: that may be this program's own fault
    meter.line_received("z", 10.8)
    assert not meter.hung_backends(10.8)  # too early for the second line
    assert meter.hung_backends(11.0) == [LatencyReport("a", pytest.approx(1.0))]
    meter.line_received("d", 10.9)  # a hung backend was seen to send something unasked
    assert meter.hung_backends(11.0)
    meter.line_received("b", 10.9)
    assert not meter.hung_backends(11.0)


def test_a_load_line_under_a_second_in_milliseconds_is_a_latency_and_longer_only_after_one() -> None:
    meter = meter_of({"a": "s0", "b": "s0", "c": "s1"})
    loads = [meter.latency_of_load_line("a", figure, 10.0) for figure in (65000.0, 1900.0, 1000.0)]
    assert loads == [None] * 3
    assert meter.latency_of_load_line("a", 900.0, 11.0) == pytest.approx(0.9)
    # Piled up further, on another connection.
    assert meter.latency_of_load_line("b", 1850.0, 12.0) == pytest.approx(1.85)
    assert meter.latency_of_load_line("c", 1850.0, 12.0) is None  # its backend has sent no latency
    assert meter.latency_of_load_line("b", 1850.0, 15.0) is None  # nor has this one for a while
    # The last of a spell: it is back under.
    assert meter.latency_of_load_line("b", 1.5, 16.0) == pytest.approx(0.0015)
    assert meter.latency_of_load_line("unknown", 5.0, 16.0) is None
    meter.connection_ended("a")
    meter.connection_ended("b")
    meter.latency_reports(17.0)
    assert set(meter.latency_lines) <= {"s1"}, "backends without connections are forgotten"
    without_lines = meter_of({"a": "s0"}, slow=float("inf"))  # by the settings no latency is sent
    assert without_lines.latency_of_load_line("a", 5.0, 10.0) is None


@pytest.mark.parametrize(
    ("round_trips", "median"), [((0.05,), 0.05), ((0.9, 0.1), 0.5), ((0.9, 0.1, 0.3), 0.3)]
)
def test_the_latency_reported_is_the_median_of_the_round_trips(
    round_trips: tuple[float, ...], median: float
) -> None:
    meter = meter_of({"a": "s0"})
    for number, round_trip in enumerate(round_trips):
        meter.line_sent("a", float(number))
        meter.line_received("a", number + round_trip)
    [report] = meter.latency_reports(10.0)
    assert report.latency == pytest.approx(median)
