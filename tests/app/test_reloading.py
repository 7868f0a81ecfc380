"""Reloading a section of the operator's file: the log lines and the keys that they name."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from structlog.testing import CapturingLogger

from saltcourse.app import reloading
from saltcourse.app.reloading import reread_section, warn_of_changes
from saltcourse.config import ConfigError


@dataclass(frozen=True)
class Section:
    name: str = "a"
    peers: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()
    key: str = "k"


@pytest.fixture
def logger(monkeypatch: pytest.MonkeyPatch) -> CapturingLogger:
    capturing = CapturingLogger()
    monkeypatch.setattr(reloading, "log", capturing)
    return capturing


def levels(logger: CapturingLogger) -> list[str]:
    return [call.method_name for call in logger.calls]


def test_a_valid_section_is_returned_and_nothing_is_logged(logger: CapturingLogger) -> None:
    assert reread_section("gossip", Section) == Section()
    assert logger.calls == []


def test_an_invalid_section_is_logged_and_the_previous_one_kept(logger: CapturingLogger) -> None:
    """An operator saves an invalid file and reloads: the program must keep running and log the error."""

    def invalid() -> Section:
        raise ConfigError("operator.txtpb:2: gossip.zone: missing")

    assert reread_section("gossip", invalid) is None
    assert levels(logger) == ["error"]
    assert logger.calls[0].kwargs == {"reason": "operator.txtpb:2: gossip.zone: missing"}


def test_a_removed_section_is_logged_as_requiring_a_restart(logger: CapturingLogger) -> None:
    assert reread_section("gossip", lambda: None) is None
    assert levels(logger) == ["warning"]
    assert logger.calls[0].args == ("section removed from operator file, restart required",)
    assert logger.calls[0].kwargs == {"section": "gossip"}


@pytest.mark.parametrize(
    ("new", "keys"),
    [
        (Section(), None),
        (Section(key="new"), None),  # applied by the reload
        (Section(name="b", key="new"), "gossip.name"),
        (Section(peers=("b",), addresses=("h:1",)), "gossip.peer"),  # two fields with the same key
        (Section(name="b", addresses=("h:1",)), "gossip.name,gossip.peer"),
    ],
)
def test_each_changed_key_that_requires_a_restart_is_logged_once(
    new: Section, keys: str | None, logger: CapturingLogger
) -> None:
    warn_of_changes("gossip", Section(), new, ("key",), {"peers": "peer", "addresses": "peer"})
    assert [call.kwargs["keys"] for call in logger.calls] == ([] if keys is None else [keys])
