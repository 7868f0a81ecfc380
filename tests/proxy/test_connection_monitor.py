"""The regular checks on established connections, in their order and with a late check."""

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


class Monitored:
    """A monitor on a manual clock, and what it has done."""

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
    monitored = Monitored({"a": "s0", "b": "s0"})
    monitored.monitor.line_sent("a", monitored.clock.now())
    monitored.check_after(SILENT_AFTER_SECONDS)
    monitored.check_after(CHECK_INTERVAL_SECONDS)
    assert monitored.migrated == ["a"]
    assert monitored.monitor.backend_counts() == {"s0": 1}


def test_a_late_check_calls_no_backend_hung() -> None:
    """The loop stood still, and lines that had come meanwhile were not read yet when the check began."""
    monitored = Monitored({"a": "hung", "b": "hung", "c": "healthy"})
    start = monitored.clock.now()
    for request in "abc":
        monitored.monitor.line_sent(request, start)
    monitored.monitor.line_received("c", start + 0.9)
    monitored.check_after(1.0)
    regular = [(report.request, round(report.latency, 2)) for report in monitored.reports]
    assert regular == [("b", 1.0), ("c", 0.9)]  # one report a second for each slow backend
    monitored.check_after(CHECK_INTERVAL_SECONDS)
    assert [report.request for report in monitored.reports[2:]] == ["a"]  # hung: its oldest line


def test_a_drain_migrates_what_is_due_and_can_be_stopped() -> None:
    async def play() -> None:
        monitored = Monitored({f"r{i}": "s0" for i in range(10)})
        now = asyncio.get_running_loop().time()
        monitored.monitor.start_draining(now, now + 5 * CHECK_INTERVAL_SECONDS)
        due = len(monitored.migrated)
        assert 0 < due < 10 and monitored.monitor.is_draining
        monitored.monitor.stop_draining()
        monitored.check_after(CHECK_INTERVAL_SECONDS)
        assert len(monitored.migrated) == due and not monitored.monitor.is_draining
        monitored.monitor.start_draining(0.0, 0.0)
        assert len(monitored.migrated) == 10

    asyncio.run(play())
