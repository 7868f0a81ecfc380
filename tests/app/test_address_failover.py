"""The member of the election beside a proxy: how its start fails, and what a reload changes."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from pathlib import Path

import pytest
from structlog.testing import CapturingLogger

from saltcourse.app import address_failover, reloading
from saltcourse.app.address_failover import AddressFailoverService
from saltcourse.app.errors import AddressFailoverStartError
from saltcourse.config import ConfigError
from saltcourse.config.operator import read_operator
from saltcourse.config.operator_address_failover import AddressFailoverSettings
from tests.config.operator_files import GOOD, write_operator_file


def settings(folder: Path, port: int, more: str = "", keys: str = "ab" * 32) -> AddressFailoverSettings:
    """Those of the witness, which needs no announcer."""
    text = GOOD.replace('me: "a"', f'me: "w" {more}', 1).replace("[::1]:7001", f"127.0.0.1:{port}")
    found = read_operator(write_operator_file(folder, text, keys), "p").address_failover
    assert found is not None
    return found


def free_udp_socket() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    return bound


def free_udp_port() -> int:
    with free_udp_socket() as bound:
        port: int = bound.getsockname()[1]
        return port


async def start_and_leave(service: AddressFailoverService) -> None:
    await service.start()
    await service.leave()


def test_an_address_that_is_taken_is_a_typed_error(tmp_path: Path) -> None:
    """Another process has the member's port: the program has to end with a line that says so."""
    with free_udp_socket() as taken:
        port = taken.getsockname()[1]
        service = AddressFailoverService(settings(tmp_path, port), lambda: None)
        with pytest.raises(
            AddressFailoverStartError, match=rf"^membership\.member: cannot listen on .*:{port}: "
        ):
            asyncio.run(start_and_leave(service))


def test_a_stored_vote_that_is_damaged_is_a_typed_error(tmp_path: Path) -> None:
    """Without its vote a member could vote twice in one term, so it must not start."""
    (tmp_path / "vote.db").write_bytes(b"damaged" * 100)
    damaged = settings(tmp_path, free_udp_port(), 'store_file: "vote.db"')
    with pytest.raises(AddressFailoverStartError, match=r"^membership\.store_file: .*vote\.db"):
        asyncio.run(start_and_leave(AddressFailoverService(damaged, lambda: None)))


@pytest.fixture
def logger(monkeypatch: pytest.MonkeyPatch) -> CapturingLogger:
    """What the modules of the reload log."""
    capturing = CapturingLogger()
    monkeypatch.setattr(address_failover, "log", capturing)
    monkeypatch.setattr(reloading, "log", capturing)
    return capturing


def reload(running: AddressFailoverSettings, reread: AddressFailoverSettings | ConfigError | None) -> None:
    """Reload a running member, whose section is ``reread`` by then."""

    def read() -> AddressFailoverSettings | None:
        if isinstance(reread, ConfigError):
            raise reread
        return reread

    async def run() -> None:
        service = AddressFailoverService(running, read)
        service.reload()  # before the start there is nothing to change
        await service.start()
        service.reload()
        await service.leave()

    asyncio.run(run())


def logged(logger: CapturingLogger) -> list[str]:
    """Event and keys of each line, which are then forgotten."""
    lines = [f"{call.args[0]} {call.kwargs.get('keys', '')}".strip() for call in logger.calls]
    logger.calls.clear()
    return lines


def test_a_reload_takes_keys_over_and_names_what_needs_a_restart(
    tmp_path: Path, logger: CapturingLogger
) -> None:
    running = settings(tmp_path, free_udp_port())
    reload(running, replace(running, keys=(b"c" * 32, *running.keys)))
    assert logged(logger) == ["reloaded 2"]
    reload(running, settings(tmp_path, free_udp_port()))
    assert logged(logger) == ["reloaded 1", "changed keys that a restart will read membership.member"]
    reload(running, None)
    assert logged(logger) == ["membership is switched off at the next restart"]
    reload(running, ConfigError("broken"))
    assert logged(logger) == ["the old operator's file is kept"]
