"""A section of the operator's file that is read again: what is logged, and under which keys."""

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


def test_a_section_that_can_be_read_is_returned_and_nothing_is_logged(logger: CapturingLogger) -> None:
    assert reread_section("gossip", Section) == Section()
    assert logger.calls == []


def test_a_section_that_can_not_be_used_is_logged_and_the_old_one_stays(logger: CapturingLogger) -> None:
    """An operator saves a file with a mistake and reloads: the program must go on, and say which mistake."""

    def broken() -> Section:
        raise ConfigError("operator.txtpb:2: gossip.zone: missing")

    assert reread_section("gossip", broken) is None
    assert levels(logger) == ["error"]
    assert logger.calls[0].kwargs == {"reason": "operator.txtpb:2: gossip.zone: missing"}


def test_a_section_that_is_gone_is_switched_off_at_the_next_restart_only(logger: CapturingLogger) -> None:
    assert reread_section("gossip", lambda: None) is None
    assert levels(logger) == ["warning"]
    assert logger.calls[0].args == ("gossip is switched off at the next restart",)


@pytest.mark.parametrize(
    ("new", "keys"),
    [
        (Section(), None),
        (Section(key="new"), None),  # applied already
        (Section(name="b", key="new"), "gossip.name"),
        (Section(peers=("b",), addresses=("h:1",)), "gossip.peer"),  # two fields of one key
        (Section(name="b", addresses=("h:1",)), "gossip.name,gossip.peer"),
    ],
)
def test_changed_keys_that_need_a_restart_are_named_once(
    new: Section, keys: str | None, logger: CapturingLogger
) -> None:
    warn_of_changes("gossip", Section(), new, ("key",), {"peers": "peer", "addresses": "peer"})
    assert [call.kwargs["keys"] for call in logger.calls] == ([] if keys is None else [keys])
