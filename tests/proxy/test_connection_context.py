"""The shared state of client connections: the log of protocol errors."""

from __future__ import annotations

from structlog.testing import capture_logs

from saltcourse.proxy.connection_context import (
    PROTOCOL_ERROR_LOG_INTERVAL_SECONDS,
    ProtocolErrorLog,
)
from tests.proxy.manual_clock import ManualClock


def test_a_flood_of_protocol_errors_is_counted_in_few_log_lines() -> None:
    clock = ManualClock()
    errors = ProtocolErrorLog(clock)
    with capture_logs() as logs:
        errors.record("first")
        for _ in range(50):
            errors.record("flood")
        clock.time += PROTOCOL_ERROR_LOG_INTERVAL_SECONDS
        errors.record("last")
    assert [(entry["count"], entry["last_reason"]) for entry in logs] == [(1, "first"), (51, "last")]
    assert {entry["event"] for entry in logs} == {"client protocol errors"}
