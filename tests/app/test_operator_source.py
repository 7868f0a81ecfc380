"""Where the operator's file is found, and what is said when it can't be read."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from saltcourse.app.errors import MissingExtraError
from saltcourse.app.operator_source import OPERATOR_FILE_VARIABLE, OperatorSource
from saltcourse.config import ConfigError
from tests.config.operator_files import write_operator_file


def test_without_a_file_every_section_is_switched_off() -> None:
    source = OperatorSource(None, {OPERATOR_FILE_VARIABLE: ""}, "a")
    assert source.read() is None
    assert source.read_address_failover() is None
    assert source.read_gossip() is None


def test_the_option_wins_over_the_variable(tmp_path: Path) -> None:
    file = write_operator_file(tmp_path)
    by_variable = OperatorSource(None, {OPERATOR_FILE_VARIABLE: str(file)}, "a").read_address_failover()
    assert by_variable is not None and by_variable.own_name == "a"
    with pytest.raises(ConfigError, match="--operator /no: No such file"):
        OperatorSource("/no", {OPERATOR_FILE_VARIABLE: str(file)}, "a").read()


def test_a_file_is_read_again_each_time(tmp_path: Path) -> None:
    file = write_operator_file(tmp_path)
    source = OperatorSource(str(file), {}, "a")
    assert source.read_address_failover() is not None
    write_operator_file(tmp_path, "# switched off\n")
    assert source.read_address_failover() is None


def test_without_protobuf_the_extra_is_named(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The package is installed without extras, and the operator's file is given all the same."""
    file = write_operator_file(tmp_path)
    monkeypatch.delitem(sys.modules, "saltcourse.config.operator", raising=False)
    monkeypatch.delitem(sys.modules, "saltcourse.config.operator_address_failover", raising=False)
    monkeypatch.setitem(sys.modules, "saltcourse.config.operator_file", None)
    with pytest.raises(MissingExtraError, match=r"--operator: .*install saltcourse\[membership\]"):
        OperatorSource(str(file), {}, "a").read()
