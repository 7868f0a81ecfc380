"""Every recorded exchange, played against the whole program but its command line."""

from __future__ import annotations

import asyncio

import pytest
from structlog.testing import capture_logs

from saltcourse.balancing import response_latency
from saltcourse.proxy import discovery_client, draining, opening
from tests.proxy.exchange_player import ExchangePlayer, sections

SECTIONS = sections()


@pytest.mark.parametrize("title", SECTIONS)
def test_exchange(title: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if "nothing back" in title:
        monkeypatch.setattr(response_latency, "SILENT_AFTER_SECONDS", 0.1)
    if "in time" in title:
        monkeypatch.setattr(opening, "FIRST_LINE_TIMEOUT_SECONDS", 0.1)
    if "falls silent" in title:
        monkeypatch.setattr(discovery_client, "WATCH_WAIT_SECONDS", 0.1)
        monkeypatch.setattr(discovery_client, "WATCH_SLACK_SECONDS", 0.1)
    if "SIGTERM" not in title:
        monkeypatch.setattr(draining, "FRONT_NOTICE_SECONDS", 0.0)

    async def play() -> None:
        await ExchangePlayer(options).play(steps)

    options, steps = SECTIONS[title]
    with capture_logs() as logs:
        asyncio.run(play())
    assert not [entry for entry in logs if entry["event"] == "task failed"], "an actor has failed"
