"""The log lines of the traffic summary: one per backend with something to report, and one for the total."""

from __future__ import annotations

from structlog.testing import capture_logs

from saltcourse.balancing.backend_report import BackendReport
from saltcourse.balancing.events import AttemptStatus, BackendState
from saltcourse.proxy.traffic_summary import RequestOutcome, TrafficSummary


def report(backend: str, state: BackendState = BackendState.READY) -> BackendReport:
    return BackendReport(
        backend, state, occupancy=1.5, ceiling=4.0, reasons=("slow start",), is_avoided=False
    )


def test_outcomes_are_counted_by_backend_and_reset_after_each_summary() -> None:
    summary = TrafficSummary()
    for status in (AttemptStatus.TIMEOUT, AttemptStatus.FULL, AttemptStatus.TIMEOUT):
        summary.count_attempt("s0", status)
    summary.count_request(RequestOutcome.REJECTED)
    reports = [report("s0"), report("removed", BackendState.REMOVED)]
    with capture_logs() as logs:
        summary.write(reports, {"s0": 2}, requests=3, is_failing=False)
        summary.write(reports, {"s0": 2}, requests=3, is_failing=True)
    first, total, second, second_total = logs
    assert first == {
        "event": "backend traffic",
        "log_level": "info",
        "backend": "s0",
        "established": 2,
        "occupancy": "1.5/4.0",
        "limits": "slow start",
        "full": 1,
        "timeout": 2,
    }
    assert total["event"] == "traffic" and total["rejected"] == 1
    assert (total["requests"], total["established"], total["overloaded"]) == (3, 2, False)
    assert "timeout" not in second and "rejected" not in second_total and second_total["overloaded"]


def test_a_removed_backend_is_reported_while_it_has_connections() -> None:
    with capture_logs() as logs:
        TrafficSummary().write([report("s0", BackendState.REMOVED)], {"s0": 1}, 1, False)
    assert [entry["event"] for entry in logs] == ["backend traffic", "traffic"]
