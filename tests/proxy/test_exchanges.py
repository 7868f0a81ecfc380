"""Plays every scripted exchange against a complete proxy without its command line."""

from __future__ import annotations

import asyncio

import pytest
from structlog.testing import capture_logs

from saltcourse.balancing import response_latency
from saltcourse.proxy import discovery_client, draining, opening
from tests.proxy.exchange_player import ExchangePlayer, sections

SECTIONS = sections()
TIME_LIMITS = {  # section options (s) that replace a time limit of the proxy
    "silent_after": (response_latency, "SILENT_AFTER_SECONDS"),
    "first_line_timeout": (opening, "FIRST_LINE_TIMEOUT_SECONDS"),
    "watch_wait": (discovery_client, "WATCH_WAIT_SECONDS"),
    "watch_slack": (discovery_client, "WATCH_SLACK_SECONDS"),
    "front_notice": (draining, "FRONT_NOTICE_SECONDS"),
}


@pytest.mark.parametrize("title", SECTIONS)
def test_exchange(title: str, monkeypatch: pytest.MonkeyPatch) -> None:
    section_options, steps = SECTIONS[title]
    options = {"front_notice": "0"} | section_options
    for name, (module, constant) in TIME_LIMITS.items():
        if name in options:
            monkeypatch.setattr(module, constant, float(options.pop(name)))

    async def play() -> None:
        await ExchangePlayer(options).play(steps)

    with capture_logs() as logs:
        asyncio.run(play())
    assert not [entry for entry in logs if entry["event"] == "task failed"], "an actor has failed"
