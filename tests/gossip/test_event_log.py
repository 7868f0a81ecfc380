"""Tests that gossip events are aggregated into one log line per kind."""

from __future__ import annotations

import asyncio

from structlog.testing import capture_logs

from saltcourse.gossip import messages as m
from saltcourse.gossip.event_log import LOG_INTERVAL_SECONDS, EventLog


def test_many_events_are_logged_in_one_line_per_kind() -> None:
    async def run() -> None:
        events = EventLog()
        with capture_logs() as logs:
            for number in range(100):
                for status in (m.Status.SUSPECT, m.Status.DEAD, m.Status.ALIVE):
                    events.record(m.MemberChanged(f"p{number}", "z", status))
                events.record(m.Applied(m.Position(1, number), ("a", f"k{number}")))
            events.record(m.ZoneReachability("z1", False))
            events.record(m.FreshnessChanged(m.Freshness.STALE))
            assert logs == []
            await asyncio.sleep(LOG_INTERVAL_SECONDS + 0.1)
        assert len(logs) == 4
        by_event = {line["event"]: line for line in logs}
        changed = by_event["gossip members changed"]
        assert changed["alive"] == 100 and changed["members"].endswith("and 92 more")
        applied = by_event["gossip configuration applied"]
        assert (applied["version"], applied["times"]) == (99, 100)
        assert by_event["gossip zones unreachable"]["log_level"] == "warning"

    asyncio.run(run())
