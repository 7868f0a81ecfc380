"""How the operator's file is located, and the errors if it can't be read."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from saltcourse.app.errors import MissingExtraError
from saltcourse.app.operator_source import OPERATOR_FILE_VARIABLE, OperatorSource
from saltcourse.config import ConfigError
from tests.config.operator_files import write_operator_file


def test_without_a_file_all_sections_are_absent() -> None:
    source = OperatorSource(None, {OPERATOR_FILE_VARIABLE: ""}, "a")
    assert source.read() is None
    assert source.read_address_failover() is None
    assert source.read_gossip() is None


def test_the_option_takes_precedence_over_the_environment_variable(tmp_path: Path) -> None:
    file = write_operator_file(tmp_path)
    from_variable = OperatorSource(None, {OPERATOR_FILE_VARIABLE: str(file)}, "a").read_address_failover()
    assert from_variable is not None and from_variable.own_name == "a"
    with pytest.raises(ConfigError, match="--operator /no: No such file"):
        OperatorSource("/no", {OPERATOR_FILE_VARIABLE: str(file)}, "a").read()


def test_each_call_reads_the_file_again(tmp_path: Path) -> None:
    file = write_operator_file(tmp_path)
    source = OperatorSource(str(file), {}, "a")
    assert source.read_address_failover() is not None
    write_operator_file(tmp_path, "# no sections\n")
    assert source.read_address_failover() is None


def test_without_protobuf_the_error_names_the_missing_extra(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The package is installed without extras, but an operator's file is configured."""
    file = write_operator_file(tmp_path)
    monkeypatch.delitem(sys.modules, "saltcourse.config.operator", raising=False)
    monkeypatch.delitem(sys.modules, "saltcourse.config.operator_address_failover", raising=False)
    monkeypatch.setitem(sys.modules, "saltcourse.config.operator_file", None)
    with pytest.raises(MissingExtraError, match=r"--operator: .*install saltcourse\[membership\]"):
        OperatorSource(str(file), {}, "a").read()
