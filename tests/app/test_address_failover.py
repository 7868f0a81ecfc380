"""Address failover in the proxy's process: errors at the start, and reloads."""

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
from tests.config.operator_files import ADDRESS_FAILOVER_SECTION, write_operator_file


def settings(folder: Path, port: int, more: str = "", keys: str = "ab" * 32) -> AddressFailoverSettings:
    """Return the settings of the witness, which needs no announcer."""
    text = ADDRESS_FAILOVER_SECTION.replace('me: "a"', f'me: "w" {more}', 1).replace(
        "[::1]:7001", f"127.0.0.1:{port}"
    )
    section = read_operator(write_operator_file(folder, text, keys), "p").address_failover
    assert section is not None
    return section


def bound_udp_socket() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    return bound


def free_udp_port() -> int:
    with bound_udp_socket() as bound:
        port: int = bound.getsockname()[1]
        return port


async def start_and_leave(service: AddressFailoverService) -> None:
    await service.start()
    await service.leave()


def test_start_fails_with_a_typed_error_if_the_address_is_in_use(tmp_path: Path) -> None:
    """Another process uses the member's port: the program must exit with a message that names the address."""
    with bound_udp_socket() as used:
        port = used.getsockname()[1]
        service = AddressFailoverService(settings(tmp_path, port), lambda: None)
        with pytest.raises(
            AddressFailoverStartError, match=rf"^membership\.member: cannot listen on .*:{port}: "
        ):
            asyncio.run(start_and_leave(service))


def test_start_fails_with_a_typed_error_if_the_stored_vote_is_corrupt(tmp_path: Path) -> None:
    """Without its stored vote a member could vote twice in one term, so it must not start."""
    (tmp_path / "vote.db").write_bytes(b"corrupt" * 100)
    corrupt = settings(tmp_path, free_udp_port(), 'store_file: "vote.db"')
    with pytest.raises(AddressFailoverStartError, match=r"^membership\.store_file: .*vote\.db"):
        asyncio.run(start_and_leave(AddressFailoverService(corrupt, lambda: None)))


@pytest.fixture
def logger(monkeypatch: pytest.MonkeyPatch) -> CapturingLogger:
    """Capture the log lines of a reload."""
    capturing = CapturingLogger()
    monkeypatch.setattr(address_failover, "log", capturing)
    monkeypatch.setattr(reloading, "log", capturing)
    return capturing


def reload(running: AddressFailoverSettings, reread: AddressFailoverSettings | ConfigError | None) -> None:
    """Reload a running member; ``reread`` is the new section, or the error of reading it."""

    def read() -> AddressFailoverSettings | None:
        if isinstance(reread, ConfigError):
            raise reread
        return reread

    async def run() -> None:
        service = AddressFailoverService(running, read)
        service.reload()  # has no effect before the start
        await service.start()
        service.reload()
        await service.leave()

    asyncio.run(run())


def logged(logger: CapturingLogger) -> list[str]:
    """Return the event and the keys or section of each captured line, and clear the capture."""
    lines = [
        f"{call.args[0]} {call.kwargs.get('keys', call.kwargs.get('section', ''))}".strip()
        for call in logger.calls
    ]
    logger.calls.clear()
    return lines


def test_a_reload_applies_keys_and_logs_changes_that_require_a_restart(
    tmp_path: Path, logger: CapturingLogger
) -> None:
    running = settings(tmp_path, free_udp_port())
    reload(running, replace(running, keys=(b"c" * 32, *running.keys)))
    assert logged(logger) == ["authentication keys reloaded 2"]
    reload(running, settings(tmp_path, free_udp_port()))
    assert logged(logger) == [
        "authentication keys reloaded 1",
        "configuration changes require a restart membership.member",
    ]
    reload(running, None)
    assert logged(logger) == ["section removed from operator file, restart required membership"]
    reload(running, ConfigError("broken"))
    assert logged(logger) == ["operator file rejected, keeping previous settings"]
