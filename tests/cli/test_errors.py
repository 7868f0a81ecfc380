"""The exit code and message of each error of the programs; no traceback is shown."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from saltcourse.app.errors import AddressFailoverStartError, AppError, ControlMemberError, MissingExtraError
from saltcourse.cli.errors import exit_on_error
from saltcourse.config import ConfigError
from saltcourse.config.errors import InvalidValueError, OperatorFileError
from saltcourse.proxy.errors import ListenError

ADDRESS_IN_USE = OSError(errno.EADDRINUSE, "Address already in use")


@pytest.mark.parametrize(
    ("error", "code", "line"),
    [
        (ConfigError("no configuration"), 2, "configuration: no configuration"),
        (InvalidValueError("seed", "missing"), 2, "configuration: 'seed': missing"),
        (
            OperatorFileError(Path("o.txtpb"), 7, "fleet.term_s", "must be from 1 to 300"),
            2,
            "configuration: o.txtpb:7: fleet.term_s: must be from 1 to 300",
        ),
        (
            MissingExtraError(ModuleNotFoundError("No module named 'google'")),
            2,
            "--operator: No module named 'google': install saltcourse[membership] or saltcourse[gossip]",
        ),
        (
            ListenError("listen", "127.0.0.1:1", ADDRESS_IN_USE),
            3,
            "'listen': cannot listen on 127.0.0.1:1: Address already in use",
        ),
        (AddressFailoverStartError("membership.member: in use"), 1, "membership.member: in use"),
        (ControlMemberError("gossip.store_file: disk full"), 1, "gossip.store_file: disk full"),
        (AppError("anything else"), 1, "anything else"),
    ],
)
def test_each_error_ends_the_program_with_its_code_and_one_line(
    error: Exception, code: int, line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended, exit_on_error():
        raise error
    assert ended.value.code == code
    assert capsys.readouterr().err == f"saltcourse: {line}\n"


def test_unexpected_exceptions_keep_their_traceback() -> None:
    with pytest.raises(KeyError), exit_on_error():
        raise KeyError("unexpected")
