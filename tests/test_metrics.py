"""The metrics text in statsd's line format."""

from __future__ import annotations

from saltcourse.metrics import Metrics, ReplyOutcome


def test_replies_dispatches_and_gauges_are_written_one_per_line() -> None:
    metrics = Metrics(["feed"])
    metrics.gauges = lambda: {"concurrent": 14}
    metrics.count_reply("feed", ReplyOutcome.ESTABLISHED)
    metrics.count_reply("not in the settings", ReplyOutcome.ESTABLISHED)
    metrics.count_dispatch()
    assert metrics.text().decode().splitlines() == [
        "svc.replies.feed.success:1|c",
        "svc.replies.feed.overload:0|c",
        "svc.replies.feed.error:0|c",
        "svc.dispatches:1|c",
        "svc.concurrent:14|g",
    ]
