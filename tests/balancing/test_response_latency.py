"""Tests of the response latency meter: slow and hung backends, silent connections, and LOAD lines."""

from __future__ import annotations

import pytest

from saltcourse.balancing.response_latency import SILENT_AFTER_SECONDS, LatencyReport, ResponseLatencyMeter


def meter_of(connections: dict[str, str], slow: float = 0.02) -> ResponseLatencyMeter:
    meter = ResponseLatencyMeter(slow)
    for request, backend in connections.items():
        meter.connection_established(request, backend)
    return meter


def test_a_backend_is_reported_once_a_second_while_slow_and_once_after_its_recovery() -> None:
    meter = meter_of({"a": "s0", "b": "s0", "c": "s1"})
    meter.line_sent("a", 10.0)
    meter.line_received("a", 10.05)
    meter.line_sent("c", 10.0)
    meter.line_received("c", 10.001)
    [report] = meter.latency_reports(10.5)
    assert report.request in "ab" and report.latency == pytest.approx(0.05)
    assert meter.latency_reports(11.5) == []  # No round trips since the last report.
    meter.line_sent("b", 12.0)
    unanswered = meter.latency_reports(12.5)
    assert unanswered == [LatencyReport("b", pytest.approx(0.5))]  # An unanswered line counts with its age.
    meter.line_received("b", 12.6)
    meter.line_sent("a", 13.0)
    meter.line_received("a", 13.001)
    meter.latency_reports(13.5)
    meter.line_sent("a", 14.0)
    meter.line_received("a", 14.001)
    assert [round(report.latency, 3) for report in meter.latency_reports(14.5)] in ([], [0.001])


def test_a_connection_without_answers_is_silent_until_it_ends() -> None:
    meter = meter_of({"a": "s0"})
    meter.line_sent("a", 10.0)
    meter.line_sent("a", 12.0)  # The oldest unanswered line counts.
    assert meter.silent_connections(10.0 + SILENT_AFTER_SECONDS - 0.1) == []
    assert meter.silent_connections(10.0 + SILENT_AFTER_SECONDS) == ["a"]
    meter.connection_ended("a")
    assert meter.silent_connections(99.0) == []


def test_a_backend_is_hung_when_several_lines_stay_unanswered_while_others_answer() -> None:
    # When a backend with thirteen connections hung, each connection was migrated only after its own 4 s of
    # silence, and the clients lost 45 s in total. The first unanswered lines on several connections must show
    # that the backend is hung.
    meter = meter_of(dict.fromkeys("abcd", "hung") | {"z": "healthy"})
    meter.line_sent("a", 9.8)
    meter.line_received("a", 9.9)
    for i, request in enumerate("ab"):
        meter.line_sent(request, 10.0 + i / 5)
    meter.line_sent("z", 10.8)
    assert not meter.hung_backends(11.0)  # No backend answers, so the proxy itself may have stalled.
    meter.line_received("z", 10.8)
    assert not meter.hung_backends(10.8)  # The second line is not old enough.
    assert meter.hung_backends(11.0) == [LatencyReport("a", pytest.approx(1.0))]
    meter.line_received("d", 10.9)  # A hung backend may still send unsolicited lines.
    assert meter.hung_backends(11.0)
    meter.line_received("b", 10.9)
    assert not meter.hung_backends(11.0)


def test_a_load_line_is_a_latency_below_1000_ms_or_soon_after_another_latency() -> None:
    meter = meter_of({"a": "s0", "b": "s0", "c": "s1"})
    loads = [meter.latency_of_load_line("a", value, 10.0) for value in (65000.0, 1900.0, 1000.0)]
    assert loads == [None] * 3
    assert meter.latency_of_load_line("a", 900.0, 11.0) == pytest.approx(0.9)
    # The latency has grown, as measured on another connection of the backend.
    assert meter.latency_of_load_line("b", 1850.0, 12.0) == pytest.approx(1.85)
    assert meter.latency_of_load_line("c", 1850.0, 12.0) is None  # Its backend has sent no latency.
    assert meter.latency_of_load_line("b", 1850.0, 15.0) is None  # The last latency is too old.
    # The backend has recovered.
    assert meter.latency_of_load_line("b", 1.5, 16.0) == pytest.approx(0.0015)
    assert meter.latency_of_load_line("unknown", 5.0, 16.0) is None
    meter.connection_ended("a")
    meter.connection_ended("b")
    meter.latency_reports(17.0)
    assert set(meter.latency_lines) <= {"s1"}, "backends without connections must be removed"
    without_objective = meter_of({"a": "s0"}, slow=float("inf"))
    assert without_objective.latency_of_load_line("a", 5.0, 10.0) is None


@pytest.mark.parametrize(
    ("round_trips", "median"), [((0.05,), 0.05), ((0.9, 0.1), 0.5), ((0.9, 0.1, 0.3), 0.3)]
)
def test_the_reported_latency_is_the_median_of_the_round_trips(
    round_trips: tuple[float, ...], median: float
) -> None:
    meter = meter_of({"a": "s0"})
    for number, round_trip in enumerate(round_trips):
        meter.line_sent("a", float(number))
        meter.line_received("a", number + round_trip)
    [report] = meter.latency_reports(10.0)
    assert report.latency == pytest.approx(median)
