"""Every recorded exchange, played against the whole program but its command line."""

from __future__ import annotations

import asyncio

import pytest
from structlog.testing import capture_logs

from saltcourse.balancing import response_latency as delay
from saltcourse.proxy import client_connection as consumer
from saltcourse.proxy import discovery_client as directory
from saltcourse.proxy import server as lifecycle
from tests.proxy.exchange_player import Player, sections

SECTIONS = sections()


@pytest.mark.parametrize("title", SECTIONS)
def test_exchange(title: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if "nothing back" in title:
        monkeypatch.setattr(delay, "SILENT_AFTER_SECONDS", 0.1)
    if "in time" in title:
        monkeypatch.setattr(consumer, "FIRST_LINE_TIME", 0.1)
    if "falls silent" in title:
        monkeypatch.setattr(directory, "WATCH_TIME", 0.1)
        monkeypatch.setattr(directory, "WATCH_SLACK", 0.1)
    if "SIGTERM" not in title:
        monkeypatch.setattr(lifecycle, "STILL_TAKING", 0.0)

    async def play() -> None:
        await Player(options).play(steps)

    options, steps = SECTIONS[title]
    with capture_logs() as logs:
        asyncio.run(play())
    assert not [entry for entry in logs if entry["event"] == "task failed"], "an actor has failed"
