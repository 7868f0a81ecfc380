"""The periodic checks of established connections, including a check that runs late."""

from __future__ import annotations

import asyncio

from saltcourse.balancing.events import ResponseLatencyMeasured
from saltcourse.balancing.response_latency import SILENT_AFTER_SECONDS, ResponseLatencyMeter
from saltcourse.proxy.connection_monitor import (
    CHECK_INTERVAL_SECONDS,
    ConnectionMonitor,
    EstablishedConnection,
)
from tests.proxy.manual_clock import ManualClock


class MonitorHarness:
    """A connection monitor on a manual clock, which records migrations and reports."""

    def __init__(self, connections: dict[str, str]) -> None:
        self.clock = ManualClock()
        self.migrated: list[str] = []
        self.reports: list[ResponseLatencyMeasured] = []
        meter = ResponseLatencyMeter(slow_latency=0.02)
        self.monitor = ConnectionMonitor(meter, self.clock, self.migrate, self.reports.append)
        for request, backend in connections.items():
            self.monitor.add(EstablishedConnection(request, "quick", backend))

    def migrate(self, request: str) -> None:
        self.monitor.remove(request)
        self.migrated.append(request)

    def check_after(self, seconds: float) -> None:
        self.clock.time += seconds
        self.monitor.check()


def test_a_silent_connection_is_migrated_once() -> None:
    harness = MonitorHarness({"a": "s0", "b": "s0"})
    harness.monitor.line_sent("a", harness.clock.now())
    harness.check_after(SILENT_AFTER_SECONDS)
    harness.check_after(CHECK_INTERVAL_SECONDS)
    assert harness.migrated == ["a"]
    assert harness.monitor.backend_counts() == {"s0": 1}


def test_a_late_check_does_not_report_backends_as_hung() -> None:
    """After the event loop was blocked, the check may run before the lines that have arrived are read."""
    harness = MonitorHarness({"a": "hung", "b": "hung", "c": "healthy"})
    start = harness.clock.now()
    for request in "abc":
        harness.monitor.line_sent(request, start)
    harness.monitor.line_received("c", start + 0.9)
    harness.check_after(1.0)
    regular = [(report.request, round(report.latency, 2)) for report in harness.reports]
    assert regular == [("b", 1.0), ("c", 0.9)]  # one report per second for each slow backend
    harness.check_after(CHECK_INTERVAL_SECONDS)
    assert [report.request for report in harness.reports[2:]] == ["a"]  # the hung backend's oldest line


def test_a_drain_migrates_on_schedule_and_can_be_stopped() -> None:
    async def play() -> None:
        harness = MonitorHarness({f"r{i}": "s0" for i in range(10)})
        now = asyncio.get_running_loop().time()
        harness.monitor.start_draining(now, now + 5 * CHECK_INTERVAL_SECONDS)
        count = len(harness.migrated)
        assert 0 < count < 10 and harness.monitor.is_draining
        harness.monitor.stop_draining()
        harness.check_after(CHECK_INTERVAL_SECONDS)
        assert len(harness.migrated) == count and not harness.monitor.is_draining
        harness.monitor.start_draining(0.0, 0.0)
        assert len(harness.migrated) == 10

    asyncio.run(play())
